package graderelay.core;

import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Answers the administration API's questions on machines, teams and jobs for {@link Scheduler}. */
final class AdminViews {
  private final ClusterState cluster;

  AdminViews(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** One line on each machine, {@code now} in seconds on this leader's clock. */
  List<Scheduler.MachineView> machines(double now) {
    List<Scheduler.MachineView> views = new ArrayList<>();
    for (Machine m : cluster.machines.values()) {
      String state = stateOf(m, now);
      views.add(
          new Scheduler.MachineView(
              m.name,
              m.type,
              m.zone,
              m.spot,
              state,
              m.claims.size(),
              m.used.cpus(),
              m.capacity.cpus(),
              now - m.lastHeartbeatAt));
    }
    return views;
  }

  /** The machine's state as the administration API shows it; the first that holds counts. */
  private static String stateOf(Machine m, double now) {
    if (m.scalingIn) {
      return "returning";
    }
    if (!m.heartbeatReceived) {
      return "booting";
    }
    if (m.leaseExpired) {
      return "silent";
    }
    if (m.interruptionAt != null) {
      return "noticed";
    }
    if (m.drain || m.operatorDrain) {
      return "draining";
    }
    if (m.cordoned) {
      return "cordoned";
    }
    return now < m.quarantineUntil ? "quarantined" : "up";
  }

  /** How a team stands; for the administration API. */
  Scheduler.TeamUsage teamUsage(String team) {
    long tasks = 0;
    Amount waiting = Amount.NONE;
    for (Job j : cluster.jobs.values()) {
      if (j.waiting() && j.spec.team().equals(team)) {
        tasks += j.openTasks.cardinality();
        waiting = waiting.plus(j.taskAmount.times(j.openTasks.cardinality()));
      }
    }
    return new Scheduler.TeamUsage(cluster.admission.standing(team), tasks, waiting);
  }

  /** Why a job has tasks that wait, or null if it is not known or has none. */
  String whyWaiting(String job) {
    Job j = cluster.jobs.get(job);
    if (j != null && j.awaitsDependencies() && !j.cancelRequested) {
      return "it needs " + String.join(", ", new TreeSet<>(j.pendingDependencies));
    }
    return j == null || !j.waiting() ? null : j.waitReason;
  }
}

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
    for (Machine machine : cluster.machines.values()) {
      String state = stateOf(machine, now);
      views.add(
          new Scheduler.MachineView(
              machine.name,
              machine.type,
              machine.zone,
              machine.spot,
              state,
              machine.claims.size(),
              machine.used.cpus(),
              machine.capacity.cpus(),
              now - machine.lastHeartbeatAt));
    }
    return views;
  }

  /**
   * The machine's state as the administration API shows it; the first condition that is met
   * decides.
   */
  private static String stateOf(Machine machine, double now) {
    if (machine.scalingIn) {
      return "returning";
    }
    if (!machine.heartbeatReceived) {
      return "booting";
    }
    if (machine.leaseExpired) {
      return "silent";
    }
    if (machine.interruptionAt != null) {
      return "noticed";
    }
    if (machine.drain || machine.operatorDrain) {
      return "draining";
    }
    if (machine.cordoned) {
      return "cordoned";
    }
    return now < machine.quarantineUntil ? "quarantined" : "up";
  }

  /** A team's standing against its quota, and what of it waits; for the administration API. */
  Scheduler.TeamUsage teamUsage(String team) {
    long tasks = 0;
    Amount waiting = Amount.NONE;
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && job.spec.team().equals(team)) {
        tasks += job.openTasks.cardinality();
        waiting = waiting.plus(job.taskAmount.times(job.openTasks.cardinality()));
      }
    }
    return new Scheduler.TeamUsage(cluster.admission.standing(team), tasks, waiting);
  }

  /** Why the job has tasks that wait, or null if the job is not known or has none. */
  String whyWaiting(String id) {
    Job job = cluster.jobs.get(id);
    if (job != null && job.awaitsDependencies() && !job.cancelRequested) {
      return "it needs " + String.join(", ", new TreeSet<>(job.pendingDependencies));
    }
    return job == null || !job.isWaiting() ? null : job.waitReason;
  }
}

package graderelay.core;

import graderelay.quota.Amount;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** Builds the administration API's views of machines, teams and jobs for {@link Scheduler}. */
final class AdminViews {
  private final ClusterState cluster;

  AdminViews(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** Returns a view of each machine; {@code now} is in seconds on the leader's clock. */
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
   * The machine's state as the administration API shows it; the first matching condition decides.
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
    if (machine.isOutOfUse(now) || machine.drainRequestedByOperator) {
      return "draining";
    }
    if (machine.cordoned) {
      return "cordoned";
    }
    return now < machine.quarantineUntil ? "quarantined" : "up";
  }

  /** A team's usage against its stored limit, and its waiting tasks. */
  Scheduler.TeamUsage teamUsage(String team) {
    long waitingTasks = 0;
    Amount waiting = Amount.NONE;
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting() && job.spec.team().equals(team)) {
        waitingTasks += job.openTasks.cardinality();
        waiting = waiting.plus(job.taskAmount.times(job.openTasks.cardinality()));
      }
    }
    return new Scheduler.TeamUsage(cluster.admission.status(team), waitingTasks, waiting);
  }

  /** Why tasks of the job are waiting; null if the job is unknown or has no waiting tasks. */
  String waitReason(String jobId) {
    Job job = cluster.jobs.get(jobId);
    if (job != null && job.awaitsDependencies() && !job.cancelRequested) {
      return "it needs " + String.join(", ", new TreeSet<>(job.pendingDependencies));
    }
    return job == null || !job.isWaiting() ? null : job.waitReason.text();
  }

  /** Describes the wait of the job's open tasks; null if it is unknown or none may be placed. */
  Scheduler.JobWait jobWait(String jobId, double now) {
    Job job = cluster.jobs.get(jobId);
    if (job == null || !job.isWaiting()) {
      return null;
    }
    return new Scheduler.JobWait(
        job.waitReason.cause().label,
        job.waitReason.cause().endedBy,
        PlacementDiagnosis.of(cluster, new PlacementRules(cluster), job, now).toString());
  }

  /** Number of jobs with open tasks that may be placed, by the label of why they wait. */
  Map<String, Integer> waitingJobsByCause() {
    Map<String, Integer> jobsByCause = new TreeMap<>();
    for (WaitReason.Cause cause : WaitReason.Cause.values()) {
      jobsByCause.put(cause.label, 0);
    }
    for (Job job : cluster.jobs.values()) {
      if (job.isWaiting()) {
        jobsByCause.merge(job.waitReason.cause().label, 1, Integer::sum);
      }
    }
    return jobsByCause;
  }
}

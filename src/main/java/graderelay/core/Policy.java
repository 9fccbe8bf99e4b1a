package graderelay.core;

import java.util.List;
import java.util.Map;

/**
 * Platform limits, service-level objectives and operator settings of the scheduling core.
 *
 * @param teams the teams' quotas
 * @param delegates zone of each lease delegate, by name of the controller; empty if there is only
 *     one controller
 * @param delegateGrantS duration of a lease delegate's grant, in seconds
 * @param heartbeatIntervalS interval between two heartbeats of a worker, in seconds
 * @param leaseS duration of a worker's session lease, in seconds
 * @param listLagS seconds by which the cloud's list of machines may lag behind a scale-out
 * @param txnOps maximum number of changes in one compare-and-swap transaction of the key-value
 *     store
 * @param valueBytes maximum size of a value in the store at present, in bytes
 * @param changesPerS store changes that the leader may make per second
 * @param directCommandsPerS direct command messages that the leader may send to workers per second
 * @param startObjectivesS the shortest start objective by job class, in seconds from submission to
 *     the job's first start; classes without one are absent
 * @param startObjectiveStepsS all start objectives by job class, in seconds, ascending
 * @param completionObjectivesS the shortest completion objective by job class, in seconds from
 *     submission to the job's end; classes without one are absent
 * @param launchFenceLimits how long leases may be extended under the term of a launch that may
 *     still start a task of a cancelled job
 * @param tuning settings that operators may change at run time
 */
public record Policy(
    List<Team> teams,
    Map<String, String> delegates,
    double delegateGrantS,
    double heartbeatIntervalS,
    double leaseS,
    double listLagS,
    int txnOps,
    int valueBytes,
    double changesPerS,
    double directCommandsPerS,
    Map<String, Double> startObjectivesS,
    Map<String, List<Double>> startObjectiveStepsS,
    Map<String, Double> completionObjectivesS,
    LaunchFenceLimits launchFenceLimits,
    Tuning tuning) {

  /**
   * How long a worker's lease may be extended while a direct launch of a cancelled job may still be
   * executed under the worker's term. The lease has to expire in time for the cancellation.
   *
   * @param renewalS seconds after the cancellation in which a lease may be renewed
   * @param grantS seconds after the cancellation in which lease delegates may be granted the right
   *     to renew leases
   */
  public record LaunchFenceLimits(double renewalS, double grantS) {}

  /**
   * Settings that operators may change at run time.
   *
   * @param batchCapacity number of tasks in one task batch, for jobs accepted from now on
   * @param sampleSize number of machines drawn at random for the placement of a task
   * @param attemptCap limit on concurrent claims of a job that may itself cause its failures
   * @param idleS seconds without tasks after which a machine is scaled in
   * @param spareFactor factor on the spare capacity derived from recent arrivals
   * @param spotAllowed whether spot instances may be requested
   * @param claimsPaused whether new claims are paused
   */
  public record Tuning(
      int batchCapacity,
      int sampleSize,
      int attemptCap,
      double idleS,
      double spareFactor,
      boolean spotAllowed,
      boolean claimsPaused) {}

  /** The quota of the team, or null if it has none. */
  Team team(String name) {
    for (Team team : teams) {
      if (team.name().equals(name)) {
        return team;
      }
    }
    return null;
  }

  /** Returns a copy with other operator settings. */
  Policy with(Tuning newTuning) {
    return with(teams, newTuning, valueBytes, changesPerS);
  }

  /** Returns a copy with other quotas. */
  Policy with(List<Team> newTeams) {
    return with(newTeams, tuning, valueBytes, changesPerS);
  }

  private Policy with(
      List<Team> newTeams, Tuning newTuning, int newValueBytes, double newChangesPerS) {
    return new Policy(
        newTeams,
        delegates,
        delegateGrantS,
        heartbeatIntervalS,
        leaseS,
        listLagS,
        txnOps,
        newValueBytes,
        newChangesPerS,
        directCommandsPerS,
        startObjectivesS,
        startObjectiveStepsS,
        completionObjectivesS,
        launchFenceLimits,
        newTuning);
  }

  /** Returns a copy with the store limits lowered to these values where they are smaller. */
  Policy withStoreLimits(int maxValueBytes, double maxChangesPerS) {
    return with(
        teams, tuning, Math.min(valueBytes, maxValueBytes), Math.min(changesPerS, maxChangesPerS));
  }
}

package graderelay.core;

import java.util.List;
import java.util.Map;

/**
 * Platform limits, service-level objectives and operators' settings that the scheduling core obeys.
 *
 * @param teams the teams' quotas
 * @param delegates the lease delegates: the other controllers by zone, if there are several
 * @param delegateGrantS seconds that a lease delegate's grant lasts
 * @param heartbeatIntervalS seconds between two heartbeats of a worker
 * @param leaseS seconds that a worker's session lease lasts
 * @param listLagS seconds by which the cloud's list of machines may lag behind a scale out
 * @param txnOps changes that one compare-and-swap transaction of the store may hold
 * @param valueBytes the largest value that the store takes at present, in bytes
 * @param changesPerS changes of the store that the leader may make, a second
 * @param directCommandsPerS worker commands that the leader may send straight to workers, a second
 * @param startObjectivesS the shortest wanted time from submission to the first start of a job, in
 *     seconds, by job class; classes without one are absent
 * @param startObjectiveStepsS all such wanted times of a class, in seconds, ascending
 * @param completionObjectivesS the shortest wanted time from submission to the end of a job, in
 *     seconds, by job class; classes without one are absent
 * @param tuning settings that operators may change at any time
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
    Tuning tuning) {

  /**
   * Settings that operators may change at any time.
   *
   * @param batchCapacity tasks in one task batch of jobs accepted from now on
   * @param sampleSize machines drawn at random for each placement of a task
   * @param attemptCap tasks claimed at once of a job that may be at fault
   * @param idleS seconds without work after which a machine is scaled in
   * @param spareFactor factor on the spare room that arrivals call for
   * @param spotAllowed whether spot instances may be requested
   * @param claimsPaused whether no new task is claimed
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

  /** The same with other operators' settings. */
  Policy with(Tuning newTuning) {
    return with(teams, newTuning, valueBytes, changesPerS);
  }

  /** The same with other guarantees and limits. */
  Policy with(List<Team> newTeams) {
    return with(newTeams, tuning, valueBytes, changesPerS);
  }

  private Policy with(List<Team> newTeams, Tuning newTuning, int bytes, double changes) {
    return new Policy(
        newTeams,
        delegates,
        delegateGrantS,
        heartbeatIntervalS,
        leaseS,
        listLagS,
        txnOps,
        bytes,
        changes,
        directCommandsPerS,
        startObjectivesS,
        startObjectiveStepsS,
        completionObjectivesS,
        newTuning);
  }

  /** The same where the store allows no more than this many bytes a value, and changes a second. */
  Policy within(int bytes, double changes) {
    return with(teams, tuning, Math.min(valueBytes, bytes), Math.min(changesPerS, changes));
  }
}

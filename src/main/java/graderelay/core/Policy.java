package graderelay.core;

import java.util.List;
import java.util.Map;

/**
 * What the platform and the operators prescribe to the core.
 *
 * @param delegates the other controllers by zone, if there are several
 * @param grantS seconds that a lease delegate's grant lasts
 * @param valueBytes the largest value that the state service takes at present
 * @param changesPerS changes of the state service that the leader may make
 * @param directPerS orders that the leader may send straight to workers
 * @param waits for each class with a wanted waiting time, the shortest
 * @param waitSteps all of them, ascending
 * @param finishes for each class with a wanted time to the end of its jobs, the shortest
 */
public record Policy(
    List<Team> teams,
    Map<String, String> delegates,
    double grantS,
    double reportS,
    double leaseS,
    double listLagS,
    int txnOps,
    int valueBytes,
    double changesPerS,
    double directPerS,
    Map<String, Double> waits,
    Map<String, List<Double>> waitSteps,
    Map<String, Double> finishes,
    Tuning tuning) {

  /** Settings that operators may change at any time. */
  public record Tuning(
      int batchCapacity,
      int sampleSize,
      int attemptCap,
      double idleS,
      double spareFactor,
      boolean spotAllowed,
      boolean claimsPaused) {}

  Team team(String name) {
    for (Team t : teams) {
      if (t.name().equals(name)) {
        return t;
      }
    }
    return null;
  }

  Policy with(Tuning t) {
    return with(t, valueBytes, changesPerS);
  }

  /** The same where the state service allows no more than this. */
  Policy within(int bytes, double changes) {
    return with(tuning, Math.min(valueBytes, bytes), Math.min(changesPerS, changes));
  }

  /** The same with other guarantees and limits. */
  Policy with(List<Team> others) {
    return with(others, tuning, valueBytes, changesPerS);
  }

  private Policy with(Tuning t, int bytes, double changes) {
    return with(teams, t, bytes, changes);
  }

  private Policy with(List<Team> itsTeams, Tuning t, int bytes, double changes) {
    return new Policy(
        itsTeams,
        delegates,
        grantS,
        reportS,
        leaseS,
        listLagS,
        txnOps,
        bytes,
        changes,
        directPerS,
        waits,
        waitSteps,
        finishes,
        t);
  }
}

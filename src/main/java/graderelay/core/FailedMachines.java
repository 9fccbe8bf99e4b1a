package graderelay.core;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines on which tasks of one job failed on their own. The job avoids each of them for a
 * while, longer after each failure there: the machine may be well again, or the only one with room.
 */
final class FailedMachines {
  /** Seconds for which a machine is avoided after the first failure there. */
  private static final double INITIAL_AVOIDANCE_S = 15;

  /** Upper bound on the avoidance in seconds; a waiting job is tried again within it. */
  private static final double MAX_AVOIDANCE_S = 60;

  /** Failures of the job on one machine. Times are in seconds on the leader's clock. */
  private static final class Failures {
    private double nextAvoidanceS = INITIAL_AVOIDANCE_S;
    private double avoidedUntil;
  }

  private final Map<String, Failures> failuresByMachine = new LinkedHashMap<>();

  /** Records a failure; the machine is avoided from now on, each time for twice as long. */
  void onFailure(String machine, double now) {
    Failures failures = failuresByMachine.computeIfAbsent(machine, name -> new Failures());
    failures.avoidedUntil = now + failures.nextAvoidanceS;
    failures.nextAvoidanceS = Math.min(MAX_AVOIDANCE_S, failures.nextAvoidanceS * 2);
  }

  /** True while the job avoids the machine after a failure there. */
  boolean isAvoided(String machine, double now) {
    Failures failures = failuresByMachine.get(machine);
    return failures != null && now < failures.avoidedUntil;
  }

  /** Forgets the failures on a machine; returns whether there were any. */
  boolean remove(String machine) {
    return failuresByMachine.remove(machine) != null;
  }

  /** Forgets all failures. */
  void clear() {
    failuresByMachine.clear();
  }

  /** The machines on which the job failed, whether or not it avoids them still. */
  Set<String> names() {
    return failuresByMachine.keySet();
  }

  /** Number of machines on which the job failed. */
  int size() {
    return failuresByMachine.size();
  }

  /** True if the job failed on no machine. */
  boolean isEmpty() {
    return failuresByMachine.isEmpty();
  }
}

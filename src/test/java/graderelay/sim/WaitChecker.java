package graderelay.sim;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that no job is left waiting for long while a machine that fits has room and its team is
 * under its limit; to be asked once all troubles are over.
 */
final class WaitChecker {
  /** Seconds for which no job may be left waiting beside room. */
  private static final double MAX_WAIT_S = 90;

  /** CPUs of each simulated machine. */
  private static final double MACHINE_CPUS = 4;

  private static final double ROUNDING_TOLERANCE = 1e-6;

  private final SimWorld world;
  private final Map<SimJob, Double> besideRoomSince = new HashMap<>();

  WaitChecker(SimWorld world) {
    this.world = world;
  }

  /** Notes which jobs wait beside room now, and reports those that have done so for too long. */
  void check() {
    for (SimJob job : world.invariants.jobs.values()) {
      String machine = isWaiting(job) ? machineWithRoom(job) : null;
      if (machine == null) {
        besideRoomSince.remove(job);
        continue;
      }
      double since = besideRoomSince.computeIfAbsent(job, key -> world.loop.now());
      if (world.loop.now() - since > MAX_WAIT_S) {
        world.invariants.breaks("left waiting: " + job.id + " beside room on " + machine);
        return;
      }
    }
  }

  private boolean isWaiting(SimJob job) {
    return job.accepted
        && !job.cancelWanted()
        && !job.failing
        && job.dependencies.stream().allMatch(SimJob::allDone)
        && world.invariants.waitingTasks(job) > 0;
  }

  /** A machine that could take a task of the job, or null. */
  private String machineWithRoom(SimJob job) {
    if (world.invariants.running(job.chargedTeam()) + job.cpus > limitOf(job)) {
      return null;
    }
    for (SimWorker worker : world.workers.values()) {
      boolean fits =
          (job.spot || !worker.spot) && (job.zone == null || job.zone.equals(worker.zone));
      double free = MACHINE_CPUS - world.invariants.cpusOn(worker.name);
      // Where a job that has to be spread may go depends on its other tasks.
      if (fits && !job.spread && !worker.isDead() && free >= job.cpus - ROUNDING_TOLERANCE) {
        return worker.name;
      }
    }
    return null;
  }

  private double limitOf(SimJob job) {
    return job.chargedTeam().equals("team") ? world.shape.limit() : Double.MAX_VALUE;
  }
}

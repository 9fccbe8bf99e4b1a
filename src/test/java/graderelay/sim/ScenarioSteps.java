package graderelay.sim;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;

/** Steps that scenarios of several subjects share. */
public final class ScenarioSteps {
  private ScenarioSteps() {}

  /** The first task batch of the job is stored: a task of it was claimed. */
  public static boolean claimed(SimWorld world, SimJob job) {
    return world.store.value(StateCodec.TASK_BATCHES + job.id + "/0") != null;
  }

  /** Services that run when the test begins. */
  public static SimJob[] running(SimWorld world, int jobs) {
    SimJob[] all = new SimJob[jobs];
    for (int i = 0; i < jobs; i++) {
      all[i] = world.users.job(String.format("j-0003%02d", i), 2, 1, 0, false);
      world.users.submit(i % world.size, all[i]);
    }
    world.loop.run(15);
    assertThat(world.invariants.starts).isEqualTo(2 * jobs);
    return all;
  }

  /** Returns another controller than this one. */
  public static int other(SimWorld world, int controller) {
    return (controller + 1) % world.size;
  }

  /** Arrays that come over some seconds, of which every third is cancelled at once. */
  public static List<SimJob> arrays(SimWorld world, int n, double everyS, double runS) {
    List<SimJob> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      SimJob job = world.users.job(String.format("j-0004%02d", i), 1 + i % 3, 1, runS, true);
      all.add(job);
      int controller = i % world.size;
      world.loop.after(i * everyS, () -> world.users.submit(controller, job));
      if (i % 3 == 2) {
        world.loop.after(
            i * everyS + 0.05 + i % 4 * 0.9,
            () -> world.users.cancel(other(world, controller), job));
      }
    }
    return all;
  }

  /** Every job has ended, as its user asked, and every controller says so. */
  public static void allOver(SimWorld world, List<SimJob> jobs) {
    for (SimJob job : jobs) {
      for (int i = 0; i < world.size; i++) {
        String stage = world.users.stage(i, job.id);
        assertThat(stage).as(job.id).isIn(job.cancelAsked ? "cancelled" : "done", "done");
      }
    }
    fine(world);
  }

  /** Returns the body of a heartbeat of a machine that nobody scaled out. */
  public static byte[] checkin(int seq) {
    return Json.write(
        Json.object()
            .put("saw", "n-999999")
            .put("address", "n-999999:9000")
            .put("rig", "small")
            .put("yard", "a")
            .put("borrowed", false)
            .put("shift", 1)
            .put("tally", seq)
            .put("foreman", 0));
  }

  /** From now on the store refuses requests of this controller alone, or no longer. */
  public static void refuse(SimWorld world, int controller, boolean on) {
    world.refused[controller][0] = on;
  }

  /** Submits a job and runs the world until it is accepted, for a minute at most. */
  public static void accept(SimWorld world, int controller, SimJob job) {
    world.users.submit(controller, job);
    for (int i = 0; i < 600 && !job.accepted; i++) {
      world.loop.run(0.1);
    }
    assertThat(job.accepted).isTrue();
  }

  /** Every job has this stage at every controller, and no invariant was violated. */
  public static void everywhere(SimWorld world, List<SimJob> jobs, String stage) {
    for (SimJob job : jobs) {
      for (int i = 0; i < world.size; i++) {
        assertThat(world.users.stage(i, job.id)).as(job.id).isEqualTo(stage);
      }
    }
    fine(world);
  }
}

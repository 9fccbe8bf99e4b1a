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
  public static boolean claimed(SimWorld w, SimJob j) {
    return w.store.value(StateCodec.TASK_BATCHES + j.id + "/0") != null;
  }

  /** Services that run when the test begins. */
  public static SimJob[] running(SimWorld w, int jobs) {
    SimJob[] all = new SimJob[jobs];
    for (int i = 0; i < jobs; i++) {
      all[i] = w.users.job(String.format("j-0003%02d", i), 2, 1, 0, false);
      w.users.submit(i % w.size, all[i]);
    }
    w.loop.run(15);
    assertThat(w.invariants.starts).isEqualTo(2 * jobs);
    return all;
  }

  /** Returns another controller than this one. */
  public static int other(SimWorld w, int controller) {
    return (controller + 1) % w.size;
  }

  /** Arrays that come over some seconds, of which every third is cancelled at once. */
  public static List<SimJob> arrays(SimWorld w, int n, double everyS, double runS) {
    List<SimJob> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      SimJob j = w.users.job(String.format("j-0004%02d", i), 1 + i % 3, 1, runS, true);
      all.add(j);
      int controller = i % w.size;
      w.loop.after(i * everyS, () -> w.users.submit(controller, j));
      if (i % 3 == 2) {
        w.loop.after(
            i * everyS + 0.05 + i % 4 * 0.9, () -> w.users.cancel(other(w, controller), j));
      }
    }
    return all;
  }

  /** Every job has ended, as its user asked, and every controller says so. */
  public static void allOver(SimWorld w, List<SimJob> jobs) {
    for (SimJob j : jobs) {
      for (int i = 0; i < w.size; i++) {
        String stage = w.users.stage(i, j.id);
        assertThat(stage).as(j.id).isIn(j.cancelAsked ? "cancelled" : "done", "done");
      }
    }
    fine(w);
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
  public static void refuse(SimWorld w, int controller, boolean on) {
    w.refused[controller][0] = on;
  }

  /** Submits a job and runs the world until it is accepted, for a minute at most. */
  public static void accept(SimWorld w, int controller, SimJob j) {
    w.users.submit(controller, j);
    for (int i = 0; i < 600 && !j.accepted; i++) {
      w.loop.run(0.1);
    }
    assertThat(j.accepted).isTrue();
  }

  /** Every job has this stage at every controller, and no invariant was violated. */
  public static void everywhere(SimWorld w, List<SimJob> jobs, String stage) {
    for (SimJob j : jobs) {
      for (int i = 0; i < w.size; i++) {
        assertThat(w.users.stage(i, j.id)).as(j.id).isEqualTo(stage);
      }
    }
    fine(w);
  }
}

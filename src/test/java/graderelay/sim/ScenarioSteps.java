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
  public static boolean claimed(SimWorld w, Rules.Known j) {
    return w.state.value(StateCodec.TASK_BATCHES + j.id + "/0") != null;
  }

  /** Services that run when the story begins. */
  public static Rules.Known[] running(SimWorld w, int jobs) {
    Rules.Known[] all = new Rules.Known[jobs];
    for (int i = 0; i < jobs; i++) {
      all[i] = w.job(String.format("j-0003%02d", i), 2, 1, 0, false);
      w.submit(i % w.size, all[i]);
    }
    w.loop.run(15);
    assertThat(w.rules.starts).isEqualTo(2 * jobs);
    return all;
  }

  /** Returns another controller than this one. */
  public static int other(SimWorld w, int node) {
    return (node + 1) % w.size;
  }

  /** Arrays that come over some seconds, of which every third is cancelled at once. */
  public static List<Rules.Known> arrays(SimWorld w, int n, double everyS, double runS) {
    List<Rules.Known> all = new ArrayList<>();
    for (int i = 0; i < n; i++) {
      Rules.Known j = w.job(String.format("j-0004%02d", i), 1 + i % 3, 1, runS, true);
      all.add(j);
      int node = i % w.size;
      w.loop.after(i * everyS, () -> w.submit(node, j));
      if (i % 3 == 2) {
        w.loop.after(i * everyS + 0.05 + i % 4 * 0.9, () -> w.cancel(other(w, node), j));
      }
    }
    return all;
  }

  /** Every job has ended, as its user asked, and every node says so. */
  public static void allOver(SimWorld w, List<Rules.Known> jobs) {
    for (Rules.Known j : jobs) {
      for (int i = 0; i < w.size; i++) {
        String stage = w.stage(i, j.id);
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
  public static void refuse(SimWorld w, int node, boolean on) {
    w.refused[node][0] = on;
  }

  /** Submits a job and runs the world until it is accepted, for a minute at most. */
  public static void accept(SimWorld w, int node, Rules.Known j) {
    w.submit(node, j);
    for (int i = 0; i < 600 && !j.accepted; i++) {
      w.loop.run(0.1);
    }
    assertThat(j.accepted).isTrue();
  }

  /** Every job has this stage at every controller, and no rule was broken. */
  public static void everywhere(SimWorld w, List<Rules.Known> jobs, String stage) {
    for (Rules.Known j : jobs) {
      for (int i = 0; i < w.size; i++) {
        assertThat(w.stage(i, j.id)).as(j.id).isEqualTo(stage);
      }
    }
    fine(w);
  }
}

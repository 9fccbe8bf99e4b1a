package graderelay.features;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Options;
import graderelay.sim.ScenarioSteps;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.List;

/** Steps that tests of rolling upgrades and feature levels share. */
final class UpgradeSteps {
  /** Seconds for which all controllers have to be up before the level may rise. */
  static final double SOAK_S = 10;

  /** The newest feature level. */
  static final int LATEST = 3;

  private UpgradeSteps() {}

  /** Options of a controller that raises the level by itself, up to {@code max}. */
  static Options pinned(int max) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, max));
  }

  /** Options of a controller that raises the level up to {@code max} only for operators. */
  static Options manual(int max) {
    return new Options(new UpgradePolicy(false, SOAK_S), new FeatureRange(0, max));
  }

  /** Controllers of the version in production, with a service and a stream of short arrays. */
  static SimWorld production(long seed, int size) {
    SimWorld w = SimWorld.inProduction(seed, WorldShape.of(size), SimWorld.SAME);
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** Controllers that support so much, none of which has raised the level. */
  static SimWorld levelled(long seed, int size, Options options) {
    SimWorld w = new SimWorld(seed, WorldShape.of(size));
    w.checkLevels();
    for (int i = 0; i < size; i++) {
      w.replace(i, options);
      w.crash(i);
      w.start(i);
    }
    w.loop.run(4);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** A world whose level is the latest. */
  static SimWorld finalized(long seed, int size) {
    SimWorld w = levelled(seed, size, pinned(LATEST));
    w.loop.run(SOAK_S + 5);
    assertThat(level(w)).isEqualTo(LATEST);
    return w;
  }

  /** The level that is stored. */
  static int level(SimWorld w) {
    JsonNode record = w.store.value(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  /** Arrays that come every two seconds, of which every fifth is cancelled soon after. */
  static List<SimJob> steadyJobs(SimWorld w, double seconds) {
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < seconds / 2; i++) {
      SimJob job = w.users.job(String.format("j-0050%02d", i), 1 + i % 3, 1, 3 + i % 5, true);
      jobs.add(job);
      int controller = i % w.size;
      w.loop.after(2 * i, () -> w.users.submit(controller, job));
      if (i % 5 == 4) {
        w.loop.after(2 * i + 1.3, () -> w.users.cancel((controller + 1) % w.size, job));
      }
    }
    return jobs;
  }

  /** Ends a controller and starts it as the present version with these options. */
  static void upgrade(SimWorld w, int controller, Options options) {
    w.replace(controller, options);
    w.crash(controller);
    w.loop.run(2);
    w.start(controller);
    w.loop.run(4);
  }

  /** Asks a controller as an operator to change the level. */
  static JsonNode change(SimWorld w, int controller, String what, int level) {
    byte[] body = Json.write(Json.object().put("level", level));
    return w.users.answer(controller, "POST", "/admin/features/" + what, body);
  }

  /** Asks a controller as an operator for the level. */
  static JsonNode show(SimWorld w, int controller) {
    return w.users.answer(controller, "GET", "/admin/features", null);
  }

  /** Runs the world for a minute, by whose end every job is over at every controller. */
  static void allEnd(SimWorld w, List<SimJob> jobs) {
    w.loop.run(60);
    ScenarioSteps.allOver(w, jobs);
  }
}

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
  static Options automaticUpgrade(int maxLevel) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, maxLevel));
  }

  /** Options of a controller that raises the level up to {@code max} only for operators. */
  static Options manualUpgrade(int maxLevel) {
    return new Options(new UpgradePolicy(false, SOAK_S), new FeatureRange(0, maxLevel));
  }

  /** Controllers of the version in production, with a service and a stream of short arrays. */
  static SimWorld productionWorld(long seed, int size) {
    SimWorld world = SimWorld.inProduction(seed, WorldShape.of(size), SimWorld.SAME);
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** Controllers that support so much, none of which has raised the level. */
  static SimWorld worldAtBaseLevel(long seed, int size, Options options) {
    SimWorld world = new SimWorld(seed, WorldShape.of(size));
    world.checkLevels();
    for (int i = 0; i < size; i++) {
      world.replace(i, options);
      world.crash(i);
      world.start(i);
    }
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** A world whose level is the latest. */
  static SimWorld worldAtLatestLevel(long seed, int size) {
    SimWorld world = worldAtBaseLevel(seed, size, automaticUpgrade(LATEST));
    world.loop.run(SOAK_S + 5);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    return world;
  }

  /** The level that is stored. */
  static int storedLevel(SimWorld world) {
    JsonNode record = world.store.value(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  /** Arrays that come every two seconds, of which every fifth is cancelled soon after. */
  static List<SimJob> submitSteadyJobs(SimWorld world, double durationS) {
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < durationS / 2; i++) {
      SimJob job = world.users.job(String.format("j-0050%02d", i), 1 + i % 3, 1, 3 + i % 5, true);
      jobs.add(job);
      int controller = i % world.size;
      world.loop.after(2 * i, () -> world.users.submit(controller, job));
      if (i % 5 == 4) {
        world.loop.after(2 * i + 1.3, () -> world.users.cancel((controller + 1) % world.size, job));
      }
    }
    return jobs;
  }

  /** Ends a controller and starts it as the present version with these options. */
  static void upgrade(SimWorld world, int controller, Options options) {
    world.replace(controller, options);
    world.crash(controller);
    world.loop.run(2);
    world.start(controller);
    world.loop.run(4);
  }

  /** Asks a controller as an operator to change the level. */
  static JsonNode requestLevelChange(SimWorld world, int controller, String operation, int level) {
    byte[] body = Json.write(Json.object().put("level", level));
    return world.users.answer(controller, "POST", "/admin/features/" + operation, body);
  }

  /** Asks a controller as an operator for the level. */
  static JsonNode showLevel(SimWorld world, int controller) {
    return world.users.answer(controller, "GET", "/admin/features", null);
  }

  /** Runs the world for a minute, by whose end every job is over at every controller. */
  static void assertAllJobsEnd(SimWorld world, List<SimJob> jobs) {
    world.loop.run(60);
    ScenarioSteps.allOver(world, jobs);
  }
}

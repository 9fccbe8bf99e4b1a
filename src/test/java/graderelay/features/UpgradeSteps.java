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

/** Steps shared by tests of rolling upgrades and feature levels. */
final class UpgradeSteps {
  /** Seconds for which all controllers have to be up before the level may be raised. */
  static final double SOAK_S = 10;

  /** The latest feature level. */
  static final int LATEST = 3;

  private UpgradeSteps() {}

  /** Options of a controller that raises the level automatically, up to {@code maxLevel}. */
  static Options automaticUpgrade(int maxLevel) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, maxLevel));
  }

  /** Options of a controller that raises the level, up to {@code maxLevel}, only on request. */
  static Options manualUpgrade(int maxLevel) {
    return new Options(new UpgradePolicy(false, SOAK_S), new FeatureRange(0, maxLevel));
  }

  /** A world of controllers of the version in production, with an elected leader. */
  static SimWorld productionWorld(long seed, int size) {
    SimWorld world = SimWorld.inProduction(seed, WorldShape.of(size), SimWorld.SAME);
    world.loop.run(4);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** A world of controllers with these options, which have not raised the level yet. */
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

  /** A world at the latest level. */
  static SimWorld worldAtLatestLevel(long seed, int size) {
    SimWorld world = worldAtBaseLevel(seed, size, automaticUpgrade(LATEST));
    world.loop.run(SOAK_S + 5);
    assertThat(storedLevel(world)).isEqualTo(LATEST);
    return world;
  }

  /** The stored level. */
  static int storedLevel(SimWorld world) {
    JsonNode record = world.store.value(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  /** Submits an array every two seconds and cancels every fifth one soon after. */
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

  /** Stops a controller and starts it with the current version and these options. */
  static void upgrade(SimWorld world, int controller, Options options) {
    world.replace(controller, options);
    world.crash(controller);
    world.loop.run(2);
    world.start(controller);
    world.loop.run(4);
  }

  /** Requests a change of the level as an operator. */
  static JsonNode requestLevelChange(SimWorld world, int controller, String operation, int level) {
    byte[] body = Json.write(Json.object().put("level", level));
    return world.users.answer(controller, "POST", "/admin/features/" + operation, body);
  }

  /** Requests the status of the level as an operator. */
  static JsonNode showLevel(SimWorld world, int controller) {
    return world.users.answer(controller, "GET", "/admin/features", null);
  }

  /**
   * Runs the world for a minute and asserts that every controller then reports all jobs as ended.
   */
  static void assertAllJobsEnd(SimWorld world, List<SimJob> jobs) {
    world.loop.run(60);
    ScenarioSteps.allOver(world, jobs);
  }
}

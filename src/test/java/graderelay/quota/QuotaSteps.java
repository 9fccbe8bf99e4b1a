package graderelay.quota;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Options;
import graderelay.features.Feature;
import graderelay.features.FeatureRange;
import graderelay.features.UpgradePolicy;
import graderelay.sim.QuotaRecorder;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;

/** Steps shared by tests of stored limits. */
final class QuotaSteps {
  static final int STORED_LIMITS_LEVEL = Feature.STORED_LIMITS.level();
  private static final double SOAK_S = 1;

  private QuotaSteps() {}

  /** Options of a controller that supports feature levels up to this one. */
  static Options optionsUpToLevel(int level) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, level));
  }

  /** A world at the level of stored limits. */
  static SimWorld worldWithStoredLimits(long seed, int size) {
    return worldWithStoredLimits(new SimWorld(seed, WorldShape.of(size)));
  }

  /** Raises the world to the level of stored limits. */
  static SimWorld worldWithStoredLimits(SimWorld world) {
    world.checkLevels();
    restartAllWith(world, optionsUpToLevel(STORED_LIMITS_LEVEL));
    for (int i = 0; i < 30 && world.store.value(QuotaCodec.SEEDED) == null; i++) {
      world.loop.run(1);
    }
    assertThat(world.store.value(QuotaCodec.SEEDED)).isNotNull();
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** A world at the level below stored limits. */
  static SimWorld worldWithoutStoredLimits(long seed, int size) {
    return worldWithoutStoredLimits(new SimWorld(seed, WorldShape.of(size)));
  }

  /** Raises the world to the level below stored limits. */
  static SimWorld worldWithoutStoredLimits(SimWorld world) {
    restartAllWith(world, optionsUpToLevel(STORED_LIMITS_LEVEL - 1));
    world.loop.run(12);
    assertThat(world.store.value(FeatureCodec.LEADER)).isNotNull();
    return world;
  }

  private static void restartAllWith(SimWorld world, Options options) {
    for (int i = 0; i < world.size; i++) {
      world.replace(i, options);
      world.crash(i);
      world.start(i);
    }
  }

  /** Submits single-task arrays of one team at all controllers in turn. */
  static List<SimJob> submitBurst(
      SimWorld world,
      String team,
      String prefix,
      int count,
      double everyS,
      double cpus,
      double runS) {
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SimJob job = world.users.job(String.format("j-%s%04d", prefix, i), 1, cpus, runS, true);
      job.team = team;
      jobs.add(job);
      int controller = i % world.size;
      world.loop.after(i * everyS, () -> world.users.submit(controller, job));
    }
    return jobs;
  }

  static boolean isClaim(JsonNode transaction) {
    for (JsonNode change : transaction.path("then")) {
      if (change.path("put").asText().startsWith(StateCodec.TASK_BATCHES)) {
        return true;
      }
    }
    return false;
  }

  /** Changes a team's limits as an operator at a controller. */
  static JsonNode changeLimits(SimWorld world, int controller, String team, String fields) {
    return world.users.answer(controller, "PUT", "/admin/quota/" + team, fields.getBytes());
  }

  static JsonNode showQuota(SimWorld world, String team) {
    JsonNode answer =
        world.users.answer(Math.max(0, world.leader()), "GET", "/admin/quota/" + team, null);
    return answer.path("teams").path(0);
  }

  /** The CPUs that the account of a team reserves. */
  static double reservedCpus(SimWorld world, String team) {
    return QuotaCodec.decodeAccount(world.store.value(QuotaCodec.accountKey(team)), 1).use().cpus();
  }

  static void overwriteAccount(SimWorld world, String team, double cpus) {
    JsonNode value = Json.object().put("cpus", (long) (cpus * 1000)).put("gpus", 0);
    world.store.overwrite(QuotaCodec.accountKey(team), value);
  }

  /** Asserts that all jobs are done, and that no invariant or limit was violated. */
  static void assertAllDone(SimWorld world, QuotaRecorder recorder, List<SimJob> jobs) {
    for (SimJob job : jobs) {
      assertThat(job.accepted).as(job.id).isTrue();
      assertThat(world.users.stage(0, job.id)).as(job.id).isEqualTo("done");
    }
    assertNoViolations(world, recorder);
  }

  static void assertNoViolations(SimWorld world, QuotaRecorder recorder) {
    assertThat(world.invariants.violations).isEmpty();
    assertThat(recorder.violations).isEmpty();
  }

  /** Asserts that every job started within the given seconds after its acceptance. */
  static void assertStartedWithin(List<SimJob> jobs, double seconds) {
    for (SimJob job : jobs) {
      assertThat(job.firstStart - job.acceptedAt).as(job.id).isLessThanOrEqualTo(seconds);
    }
  }
}

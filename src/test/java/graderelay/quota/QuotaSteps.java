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

/** Steps that scenarios of stored limits share. */
final class QuotaSteps {
  static final int LEVEL = Feature.STORED_LIMITS.level();
  private static final double SOAK_S = 1;

  private QuotaSteps() {}

  /** What a controller starts with that may go up to this feature level. */
  static Options upTo(int level) {
    return new Options(new UpgradePolicy(true, SOAK_S), new FeatureRange(0, level));
  }

  /** A world that stores limits. */
  static SimWorld stored(long seed, int size) {
    return stored(new SimWorld(seed, WorldShape.of(size)));
  }

  /** The same world once it stores limits. */
  static SimWorld stored(SimWorld w) {
    w.checkLevels();
    startWith(w, upTo(LEVEL));
    for (int i = 0; i < 30 && w.store.value(QuotaCodec.SEEDED) == null; i++) {
      w.loop.run(1);
    }
    assertThat(w.store.value(QuotaCodec.SEEDED)).isNotNull();
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** A world that does not, and otherwise is the same. */
  static SimWorld plain(long seed, int size) {
    return plain(new SimWorld(seed, WorldShape.of(size)));
  }

  /** The same world once it has the level before stored limits. */
  static SimWorld plain(SimWorld w) {
    startWith(w, upTo(LEVEL - 1));
    w.loop.run(12);
    assertThat(w.store.value(FeatureCodec.LEADER)).isNotNull();
    return w;
  }

  private static void startWith(SimWorld w, Options options) {
    for (int i = 0; i < w.size; i++) {
      w.replace(i, options);
      w.crash(i);
      w.start(i);
    }
  }

  /** Arrays of one team, submitted at all controllers in turn. */
  static List<SimJob> burst(
      SimWorld w, String team, String prefix, int count, double everyS, double cpus, double runS) {
    List<SimJob> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      SimJob job = w.users.job(String.format("j-%s%04d", prefix, i), 1, cpus, runS, true);
      job.team = team;
      jobs.add(job);
      int controller = i % w.size;
      w.loop.after(i * everyS, () -> w.users.submit(controller, job));
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

  /** Operators change a team's limits at a controller. */
  static JsonNode set(SimWorld w, int controller, String team, String fields) {
    return w.users.answer(controller, "PUT", "/admin/quota/" + team, fields.getBytes());
  }

  static JsonNode shown(SimWorld w, String team) {
    JsonNode answer = w.users.answer(Math.max(0, w.leader()), "GET", "/admin/quota/" + team, null);
    return answer.path("teams").path(0);
  }

  /** What the account of a team says, in CPUs. */
  static double account(SimWorld w, String team) {
    return QuotaCodec.decodeAccount(w.store.value(QuotaCodec.accountKey(team)), 1).use().cpus();
  }

  static void overwriteAccount(SimWorld w, String team, double cpus) {
    JsonNode value = Json.object().put("cpus", (long) (cpus * 1000)).put("gpus", 0);
    w.store.overwrite(QuotaCodec.accountKey(team), value);
  }

  /** All are done, no invariant was violated, and no limit was passed on the way. */
  static void allDone(SimWorld w, QuotaRecorder recorder, List<SimJob> jobs) {
    for (SimJob job : jobs) {
      assertThat(job.accepted).as(job.id).isTrue();
      assertThat(w.users.stage(0, job.id)).as(job.id).isEqualTo("done");
    }
    kept(w, recorder);
  }

  static void kept(SimWorld w, QuotaRecorder recorder) {
    assertThat(w.invariants.violations).isEmpty();
    assertThat(recorder.violations).isEmpty();
  }

  /** Every job began within so many seconds of its acceptance. */
  static void beganWithin(List<SimJob> jobs, double seconds) {
    for (SimJob job : jobs) {
      assertThat(job.firstStart - job.acceptedAt).as(job.id).isLessThanOrEqualTo(seconds);
    }
  }
}

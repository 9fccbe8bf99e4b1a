package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.Settings;
import graderelay.core.JobSpec;
import graderelay.core.TaskBatchRecord;
import graderelay.net.Exchange;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.BadRequest;
import graderelay.wire.FinalState;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A store that lowers its limits, and records from before. */
class LoweredStoreLimitsTest {
  private static SimJob job(SimWorld w, int n, int tasks, double runS, SimJob... needs) {
    SimJob j = w.users.job(String.format("j-0007%02d", n), tasks, 1, runS, true);
    j.dependencies = List.of(needs);
    return j;
  }

  /** A job as the version before accepted it, with task batches that fit the limits of its time. */
  private static void acceptedBefore(SimWorld w, SimJob j) {
    JobSpec spec;
    try {
      spec =
          UserCodec.decodeSubmission(
              w.users.body(j), (long) (w.loop.now() * 1000) + 1_700_000_000_000L, 500);
    } catch (BadRequest e) {
      throw new AssertionError(e);
    }
    ObjectNode txn = Json.object();
    txn.putArray("if").addObject().put("key", StateCodec.jobKey(j.id)).put("mark", 0);
    txn.putArray("then")
        .addObject()
        .put("put", StateCodec.jobKey(j.id))
        .set("data", StateCodec.encodeJob(spec, false));
    w.store.handle(new Exchange("POST", "/multi", "", Json.write(txn), a -> {}));
    j.accepted = true;
  }

  @ParameterizedTest
  @CsvSource({
    "300, 0.4, 8, false",
    "500, 0.2, 26, false",
    "500, 0.2, 26, true",
    "500, 0.5, 60, true"
  })
  void earlierJobsAreFinishedWhenTheStoreAllowsLess(
      int tasks, double cpus, int machines, boolean leaderEnds) {
    SimWorld w =
        new SimWorld(
            411,
            WorldShape.of(3).fleet(machines, List.of("a", "b")),
            new Settings.StateLimits(200, 2, 4));
    w.cloud.capacity = machines;
    w.loop.run(3);
    SimJob old = w.users.job("j-000780", tasks, cpus, 12, true);
    acceptedBefore(w, old);
    w.loop.run(16);
    assertThat(w.invariants.starts).isGreaterThan(50);
    w.store.lower(2, 4);
    SimJob young = w.users.job("j-000781", 30, 0.5, 6, true);
    w.users.submit(1, young);
    w.loop.run(4);
    if (leaderEnds) {
      w.crash(w.leader());
    }
    w.loop.run(150);
    // Each leader has to find it out; task batches of 300 fit as they are.
    assertThat(w.store.tooLarge).isBetween(tasks > 300 ? 1 : 0, 20);
    assertThat(w.users.stage(w.leader(), young.id)).isEqualTo("done");
    assertThat(w.users.stage(w.leader(), old.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void recordsOfNewVersionFitTheLimitsToCome() {
    SimWorld w =
        new SimWorld(
            412,
            WorldShape.of(3).fleet(30, List.of("a", "b")),
            new Settings.StateLimits(200, 2, 4));
    w.cloud.capacity = 30;
    w.loop.run(3);
    SimJob j = w.users.job("j-000780", 300, 0.4, 6, true);
    w.users.submit(0, j);
    w.loop.run(14);
    w.store.lower(2, 4);
    w.loop.run(100);
    assertThat(w.store.tooLarge).isZero();
    assertThat(w.users.stage(0, j.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void packedTaskBatchSaysTheSameInFewerBytes() {
    int n = 500;
    int[] attempts = new int[n];
    String[] machines = new String[n];
    long[] sessions = new long[n];
    boolean[] done = new boolean[n];
    for (int i = 0; i < n; i++) {
      attempts[i] = 1 + i % 70;
      done[i] = i % 3 == 0;
      machines[i] = i % 3 == 1 ? "n-" + (100 + i % 20) : null;
      sessions[i] = i % 3 == 1 ? 2 : 0;
    }
    TaskBatchRecord r = new TaskBatchRecord(attempts, machines, sessions, done);
    byte[] plain = Json.write(StateCodec.encodeTaskBatch(r));
    byte[] packed = Json.write(StateCodec.encodeTaskBatch(r.packedCopy()));
    assertThat(packed.length).isLessThan(2048).isLessThan(plain.length / 2);
    assertThat(StateCodec.decodeTaskBatch(Json.read(packed))).isEqualTo(r);
    assertThat(StateCodec.decodeTaskBatch(Json.read(plain))).isEqualTo(r);
  }

  /** Records as the version before dependencies wrote them. */
  @Test
  void recordsOfTheVersionBeforeAreReadAsTheyWere() {
    String job =
        "{\"class\":\"batch\",\"team\":\"team\",\"kind\":\"ARRAY\",\"priority\":\"NORMAL\","
            + "\"tasks\":3,\"cpus\":1.0,\"gpus\":0.0,\"mem\":1.0,\"image\":\"i\",\"imageGb\":1.0,"
            + "\"oneZone\":false,\"spread\":false,\"spot\":true,\"estimate\":4.0,"
            + "\"checkpoint\":0.0,\"save\":0.0,\"at\":1700000000000,\"cap\":500,\"stop\":true}";
    JsonNode n = Json.read(job.getBytes(StandardCharsets.UTF_8));
    JobSpec s = StateCodec.decodeJob("j-1", n);
    assertThat(s.dependencies()).isEmpty();
    assertThat(s.batchCapacity()).isEqualTo(500);
    assertThat(Json.write(StateCodec.encodeJob(s, true)))
        .isEqualTo(job.getBytes(StandardCharsets.UTF_8));
    JsonNode taskBatch =
        Json.read(
            "{\"a\":[1,2,1],\"m\":[[\"n-000001\",3]],\"p\":[0,-1,-2]}"
                .getBytes(StandardCharsets.UTF_8));
    TaskBatchRecord r = StateCodec.decodeTaskBatch(taskBatch);
    assertThat(r.machine(0)).isEqualTo("n-000001");
    assertThat(r.done(2)).isTrue();
    assertThat(Json.write(StateCodec.encodeTaskBatch(r))).isEqualTo(Json.write(taskBatch));
    assertThat(
            StateCodec.decodeFinalState(
                Json.read("{\"end\":\"done\",\"tasks\":3}".getBytes(StandardCharsets.UTF_8))))
        .isEqualTo(new FinalState(false, 3, 0));
  }
}

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
import graderelay.wire.BadRequestException;
import graderelay.wire.FinalState;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import graderelay.wire.UserCodec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The store lowers its limits while records that are sized for the earlier limits exist. */
class LoweredStoreLimitsTest {
  private static SimJob job(
      SimWorld world, int number, int tasks, double runS, SimJob... dependencies) {
    SimJob job = world.users.job(String.format("j-0007%02d", number), tasks, 1, runS, true);
    job.dependencies = List.of(dependencies);
    return job;
  }

  /** Stores a job as the previous version did, with task batches sized for the initial limits. */
  private static void storeJobOfPreviousVersion(SimWorld world, SimJob job) {
    JobSpec spec;
    try {
      spec =
          UserCodec.decodeSubmission(
              world.users.body(job), (long) (world.loop.now() * 1000) + 1_700_000_000_000L, 500);
    } catch (BadRequestException e) {
      throw new AssertionError(e);
    }
    ObjectNode transaction = Json.object();
    transaction.putArray("if").addObject().put("key", StateCodec.jobKey(job.id)).put("mark", 0);
    transaction
        .putArray("then")
        .addObject()
        .put("put", StateCodec.jobKey(job.id))
        .set("data", StateCodec.encodeJob(spec, false));
    world.store.handle(new Exchange("POST", "/multi", "", Json.write(transaction), answer -> {}));
    job.accepted = true;
  }

  @ParameterizedTest
  @CsvSource({
    "300, 0.4, 8, false",
    "500, 0.2, 26, false",
    "500, 0.2, 26, true",
    "500, 0.5, 60, true"
  })
  void jobsAcceptedBeforeLimitsAreLoweredStillFinish(
      int tasks, double cpus, int machines, boolean leaderCrashes) {
    SimWorld world =
        new SimWorld(
            411,
            WorldShape.of(3).fleet(machines, List.of("a", "b")),
            new Settings.StoreLimits(200, 2, 4));
    world.cloud.capacity = machines;
    world.loop.run(3);
    SimJob earlierJob = world.users.job("j-000780", tasks, cpus, 12, true);
    storeJobOfPreviousVersion(world, earlierJob);
    world.loop.run(16);
    assertThat(world.invariants.starts).isGreaterThan(50);
    world.store.lower(2, 4);
    SimJob laterJob = world.users.job("j-000781", 30, 0.5, 6, true);
    world.users.submit(1, laterJob);
    world.loop.run(4);
    if (leaderCrashes) {
      world.crash(world.leader());
    }
    world.loop.run(150);
    // Each leader has to detect the lower limits itself; task batches of 300 tasks still fit.
    assertThat(world.store.tooLarge).isBetween(tasks > 300 ? 1 : 0, 20);
    assertThat(world.users.stage(world.leader(), laterJob.id)).isEqualTo("done");
    assertThat(world.users.stage(world.leader(), earlierJob.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void recordsFitTheNextLimitsBeforeTheyAreInForce() {
    SimWorld world =
        new SimWorld(
            412,
            WorldShape.of(3).fleet(30, List.of("a", "b")),
            new Settings.StoreLimits(200, 2, 4));
    world.cloud.capacity = 30;
    world.loop.run(3);
    SimJob job = world.users.job("j-000780", 300, 0.4, 6, true);
    world.users.submit(0, job);
    world.loop.run(14);
    world.store.lower(2, 4);
    world.loop.run(100);
    assertThat(world.store.tooLarge).isZero();
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void packedTaskBatchDecodesToTheSameRecordFromFewerBytes() {
    int taskCount = 500;
    int[] attempts = new int[taskCount];
    String[] machines = new String[taskCount];
    long[] sessions = new long[taskCount];
    boolean[] done = new boolean[taskCount];
    for (int i = 0; i < taskCount; i++) {
      attempts[i] = 1 + i % 70;
      done[i] = i % 3 == 0;
      machines[i] = i % 3 == 1 ? "n-" + (100 + i % 20) : null;
      sessions[i] = i % 3 == 1 ? 2 : 0;
    }
    TaskBatchRecord record = new TaskBatchRecord(attempts, machines, sessions, done);
    byte[] plain = Json.write(StateCodec.encodeTaskBatch(record));
    byte[] packed = Json.write(StateCodec.encodeTaskBatch(record.packedCopy()));
    assertThat(packed.length).isLessThan(2048).isLessThan(plain.length / 2);
    assertThat(StateCodec.decodeTaskBatch(Json.read(packed))).isEqualTo(record);
    assertThat(StateCodec.decodeTaskBatch(Json.read(plain))).isEqualTo(record);
  }

  /** Records as written by the last version without DAG dependencies. */
  @Test
  void recordsOfPreviousVersionAreReadUnchanged() {
    String job =
        "{\"class\":\"batch\",\"team\":\"team\",\"kind\":\"ARRAY\",\"priority\":\"NORMAL\","
            + "\"tasks\":3,\"cpus\":1.0,\"gpus\":0.0,\"mem\":1.0,\"image\":\"i\",\"imageGb\":1.0,"
            + "\"oneZone\":false,\"spread\":false,\"spot\":true,\"estimate\":4.0,"
            + "\"checkpoint\":0.0,\"save\":0.0,\"at\":1700000000000,\"cap\":500,\"stop\":true}";
    JsonNode jobNode = Json.read(job.getBytes(StandardCharsets.UTF_8));
    JobSpec jobSpec = StateCodec.decodeJob("j-1", jobNode);
    assertThat(jobSpec.dependencies()).isEmpty();
    assertThat(jobSpec.batchCapacity()).isEqualTo(500);
    assertThat(Json.write(StateCodec.encodeJob(jobSpec, true)))
        .isEqualTo(job.getBytes(StandardCharsets.UTF_8));
    JsonNode taskBatch =
        Json.read(
            "{\"a\":[1,2,1],\"m\":[[\"n-000001\",3]],\"p\":[0,-1,-2]}"
                .getBytes(StandardCharsets.UTF_8));
    TaskBatchRecord record = StateCodec.decodeTaskBatch(taskBatch);
    assertThat(record.machine(0)).isEqualTo("n-000001");
    assertThat(record.done(2)).isTrue();
    assertThat(Json.write(StateCodec.encodeTaskBatch(record))).isEqualTo(Json.write(taskBatch));
    assertThat(
            StateCodec.decodeFinalState(
                Json.read("{\"end\":\"done\",\"tasks\":3}".getBytes(StandardCharsets.UTF_8))))
        .isEqualTo(new FinalState(false, 3, 0));
  }
}

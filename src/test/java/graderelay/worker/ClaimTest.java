package graderelay.worker;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.Scheduler;
import graderelay.core.SchedulerFixture;
import graderelay.core.TaskBatchKey;
import graderelay.core.TransactionOutcome;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import org.junit.jupiter.api.Test;

/** Claims, and cancellations that race with them. */
class ClaimTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  private static boolean writesTaskBatch(JsonNode transaction) {
    for (JsonNode change : transaction.path("then")) {
      if (change.path("put").asText().startsWith(StateCodec.TASK_BATCHES)) {
        return true;
      }
    }
    return false;
  }

  @Test
  void completedArrayIsReportedAsDoneByEveryController() {
    SimWorld world = world(1);
    SimJob job = world.users.job("j-000001", 6, 2, 3, true);
    world.users.submit(0, job);
    world.loop.run(40);
    for (int i = 0; i < 3; i++) {
      assertThat(world.users.stage(i, job.id)).isEqualTo("done");
    }
    assertThat(world.store.value(StateCodec.jobKey(job.id))).isNull();
    assertThat(world.store.value(StateCodec.finalStateKey(job.id))).isNotNull();
    assertThat(world.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(world);
  }

  @Test
  void cancelBeforeClaimKeepsTheTaskFromStarting() {
    SimWorld world = world(2);
    SimJob job = world.users.job("j-000002", 2, 2, 0, false);
    world.users.submit(0, job);
    world.loop.run(1);
    world.users.cancel(1, job); // No machine has booted yet, so nothing is claimed.
    world.loop.run(30);
    assertThat(world.invariants.starts).isZero();
    assertThat(world.users.stage(2, job.id)).isEqualTo("cancelled");
    fine(world);
  }

  @Test
  void cancelThatCommitsDuringClaimMakesTheClaimFail() {
    SimWorld world = world(21);
    world.users.submit(0, world.users.job("j-000030", 1, 1, 0, false));
    world.loop.run(15); // A machine has booted.
    SimJob job = world.users.job("j-000031", 2, 1, 0, false);
    int[] remainingFaults = {1};
    world.store.delay = transaction -> writesTaskBatch(transaction) && remainingFaults[0]-- > 0;
    world.store.delayS = 0.5;
    world.users.submit(0, job);
    world.loop.run(0.1);
    world.users.cancel(1, job);
    world.loop.run(0.1);
    assertThat(world.users.stage(2, job.id)).isEqualTo("cancelled");
    world.loop.run(3);
    assertThat(world.store.everWritten).doesNotContain(StateCodec.TASK_BATCHES + job.id + "/0");
    assertThat(world.invariants.starts).isEqualTo(1);
    fine(world);
  }

  @Test
  void formerLeadersClaimFailsEvenIfTheTaskBatchIsUnchanged() {
    SimWorld world = world(22);
    world.users.submit(0, world.users.job("j-000032", 1, 1, 0, false));
    world.loop.run(15);
    int leader = world.leader();
    SimJob job = world.users.job("j-000033", 2, 1, 5, true);
    int[] remainingFaults = {1};
    world.store.delay = transaction -> writesTaskBatch(transaction) && remainingFaults[0]-- > 0;
    world.store.delayS = 20;
    world.users.submit((leader + 1) % 3, job);
    while (remainingFaults[0] > 0) {
      world.loop.run(0.01);
    }
    world.crash(leader);
    // The next leader claims nothing, so only the condition on the leader record can fail.
    world.users.answer((leader + 1) % 3, "POST", "/admin/claims/pause", null);
    world.loop.run(30);
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(world.store.value(StateCodec.TASK_BATCHES + job.id + "/0")).isNull();
    fine(world);
  }

  @Test
  void cancelAfterClaimMakesTheLeaderStopTheTasks() {
    SimWorld world = world(3);
    SimJob job = world.users.job("j-000003", 2, 2, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    assertThat(world.users.stage(0, job.id)).isEqualTo("running");
    world.users.cancel(1, job);
    world.loop.run(5);
    assertThat(world.workers.values()).allMatch(x -> x.running().isEmpty());
    assertThat(world.store.value(StateCodec.finalStateKey(job.id)).path("end").asText())
        .isEqualTo("cancelled");
    fine(world);
  }

  @Test
  void claimWhoseCommitResponseIsLostIsExecutedExactlyOnce() {
    SimWorld world = world(4);
    SimJob job = world.users.job("j-000004", 3, 1, 5, true);
    int[] remainingFaults = {1};
    world.store.loseAnswer =
        transaction -> writesTaskBatch(transaction) && remainingFaults[0]-- > 0;
    world.users.submit(0, job);
    world.loop.run(40);
    assertThat(remainingFaults[0]).isLessThan(1);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    assertThat(world.invariants.starts).isEqualTo(3);
    fine(world);
  }

  @Test
  void claimCommittedLateIsNotLaunchedBesideCompetingClaim() {
    SimWorld world = world(5);
    SimJob job = world.users.job("j-000005", 3, 1, 5, true);
    int[] remainingFaults = {1};
    world.store.delay = transaction -> writesTaskBatch(transaction) && remainingFaults[0]-- > 0;
    world.store.delayS = 3;
    world.users.submit(0, job);
    world.loop.run(40);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void formerLeadersLateWriteFails() {
    SimWorld world = world(6);
    SimJob job = world.users.job("j-000006", 4, 1, 30, true);
    int leader = world.leader();
    int[] remainingFaults = {1};
    world.store.delay = transaction -> writesTaskBatch(transaction) && remainingFaults[0]-- > 0;
    world.store.delayS = 20;
    world.users.submit((leader + 1) % 3, job);
    while (remainingFaults[0] > 0) {
      world.loop.run(0.01);
    }
    world.crash(leader);
    world.loop.run(70);
    assertThat(world.leader()).isNotEqualTo(leader);
    assertThat(world.users.stage(world.leader(), job.id)).isEqualTo("done");
    fine(world);
  }

  @Test
  void claimOfUnknownOutcomeThatCommitsLateIsEndedAndNeverLaunched() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    scheduler.step(0.1);
    SchedulerFixture.completeWrites(scheduler, TransactionOutcome.UNKNOWN, 0.2);
    scheduler.onTaskBatch(
        new TaskBatchKey("j-1", 0), SchedulerFixture.claimedRecord("n-1", 1), 6, 0.21);
    scheduler.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 0.25);
    assertThat(scheduler.respond(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 0.25).commands())
        .isEmpty();
    assertThat(SchedulerFixture.pendingLaunches(scheduler)).isZero();
    SchedulerFixture.commitAll(scheduler, 7, 0.3);
    assertThat(SchedulerFixture.committedWrites(scheduler))
        .isPositive(); // The task returns to the queue.
  }

  @Test
  void teamLimitHoldsWhileOneMachineIsCutOff() {
    SimWorld world = world(11);
    SimJob job = world.users.job("j-000011", 12, 4, 0, false);
    world.users.submit(0, world.users.job("j-000012", 5, 4, 30, true));
    world.loop.run(16);
    assertThat(
            world
                .users
                .answer(0, "POST", "/v1/jobs", Json.write(world.users.body(job)))
                .path("http")
                .asInt())
        .isEqualTo(422); // All replicas of a service must fit the limit.
    world.users.submit(0, world.users.job("j-000013", 20, 4, 10, true));
    world.loop.run(10);
    String machine = world.workers.keySet().iterator().next();
    world.cutOff(machine);
    world.loop.run(60);
    fine(world);
  }

  @Test
  void jobOfMoreTaskBatchesThanOneTransactionHoldsEnds() {
    SimWorld world = world(12);
    SimJob job = world.users.job("j-000014", 7000, 0.01, 1, true);
    world.users.submit(0, job);
    world.loop.run(200);
    assertThat(world.users.stage(1, job.id)).isEqualTo("done");
    assertThat(world.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(world);
  }
}

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

/** Claims, and cancellations that compete with them. */
class ClaimTest {
  private static SimWorld world(long seed) {
    return WorldAssertions.world(seed, 3);
  }

  private static boolean writesBatch(JsonNode txn) {
    for (JsonNode c : txn.path("then")) {
      if (c.path("put").asText().startsWith(StateCodec.TASK_BATCHES)) {
        return true;
      }
    }
    return false;
  }

  @Test
  void arrayRunsToItsEndAndStaysDoneOnEveryController() {
    SimWorld w = world(1);
    SimJob j = w.users.job("j-000001", 6, 2, 3, true);
    w.users.submit(0, j);
    w.loop.run(40);
    for (int i = 0; i < 3; i++) {
      assertThat(w.users.stage(i, j.id)).isEqualTo("done");
    }
    assertThat(w.store.value(StateCodec.jobKey(j.id))).isNull();
    assertThat(w.store.value(StateCodec.finalStateKey(j.id))).isNotNull();
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(w);
  }

  @Test
  void cancelBeforeClaimKeepsTheTaskFromStarting() {
    SimWorld w = world(2);
    SimJob j = w.users.job("j-000002", 2, 2, 0, false);
    w.users.submit(0, j);
    w.loop.run(1);
    w.users.cancel(1, j); // No machine is up yet, so nothing is claimed.
    w.loop.run(30);
    assertThat(w.invariants.starts).isZero();
    assertThat(w.users.stage(2, j.id)).isEqualTo("cancelled");
    fine(w);
  }

  @Test
  void cancelThatCommitsDuringClaimMakesTheClaimFail() {
    SimWorld w = world(21);
    w.users.submit(0, w.users.job("j-000030", 1, 1, 0, false));
    w.loop.run(15); // A machine is up.
    SimJob j = w.users.job("j-000031", 2, 1, 0, false);
    int[] left = {1};
    w.store.delay = t -> writesBatch(t) && left[0]-- > 0;
    w.store.delayS = 0.5;
    w.users.submit(0, j);
    w.loop.run(0.1);
    w.users.cancel(1, j);
    w.loop.run(0.1);
    assertThat(w.users.stage(2, j.id)).isEqualTo("cancelled");
    w.loop.run(3);
    assertThat(w.store.everWritten).doesNotContain(StateCodec.TASK_BATCHES + j.id + "/0");
    assertThat(w.invariants.starts).isEqualTo(1);
    fine(w);
  }

  @Test
  void formerLeadersClaimFailsEvenWhenNobodyElseTouchedTheRecord() {
    SimWorld w = world(22);
    w.users.submit(0, w.users.job("j-000032", 1, 1, 0, false));
    w.loop.run(15);
    int leader = w.leader();
    SimJob j = w.users.job("j-000033", 2, 1, 5, true);
    int[] left = {1};
    w.store.delay = t -> writesBatch(t) && left[0]-- > 0;
    w.store.delayS = 20;
    w.users.submit((leader + 1) % 3, j);
    while (left[0] > 0) {
      w.loop.run(0.01);
    }
    w.crash(leader);
    // The next leader claims nothing, so that only the leader record stands in the way.
    w.users.answer((leader + 1) % 3, "POST", "/admin/claims/pause", null);
    w.loop.run(30);
    assertThat(w.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(w.store.value(StateCodec.TASK_BATCHES + j.id + "/0")).isNull();
    fine(w);
  }

  @Test
  void cancelAfterClaimIsStopRequestThatTheLeaderCarriesOut() {
    SimWorld w = world(3);
    SimJob j = w.users.job("j-000003", 2, 2, 0, false);
    w.users.submit(0, j);
    w.loop.run(15);
    assertThat(w.users.stage(0, j.id)).isEqualTo("running");
    w.users.cancel(1, j);
    w.loop.run(5);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    assertThat(w.store.value(StateCodec.finalStateKey(j.id)).path("end").asText())
        .isEqualTo("cancelled");
    fine(w);
  }

  @Test
  void claimWhoseAnswerIsLostIsNeitherForgottenNorMadeTwice() {
    SimWorld w = world(4);
    SimJob j = w.users.job("j-000004", 3, 1, 5, true);
    int[] left = {1};
    w.store.loseAnswer = t -> writesBatch(t) && left[0]-- > 0;
    w.users.submit(0, j);
    w.loop.run(40);
    assertThat(left[0]).isLessThan(1);
    assertThat(w.users.stage(0, j.id)).isEqualTo("done");
    assertThat(w.invariants.starts).isEqualTo(3);
    fine(w);
  }

  @Test
  void claimAppliedLateIsNotLaunchedBesidesItsRival() {
    SimWorld w = world(5);
    SimJob j = w.users.job("j-000005", 3, 1, 5, true);
    int[] left = {1};
    w.store.delay = t -> writesBatch(t) && left[0]-- > 0;
    w.store.delayS = 3;
    w.users.submit(0, j);
    w.loop.run(40);
    assertThat(w.users.stage(0, j.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void formerLeadersLateWriteFails() {
    SimWorld w = world(6);
    SimJob j = w.users.job("j-000006", 4, 1, 30, true);
    int leader = w.leader();
    int[] left = {1};
    w.store.delay = t -> writesBatch(t) && left[0]-- > 0;
    w.store.delayS = 20;
    w.users.submit((leader + 1) % 3, j);
    while (left[0] > 0) {
      w.loop.run(0.01);
    }
    w.crash(leader);
    w.loop.run(70);
    assertThat(w.leader()).isNotEqualTo(leader);
    assertThat(w.users.stage(w.leader(), j.id)).isEqualTo("done");
    fine(w);
  }

  @Test
  void claimThatTurnsUpLateIsEndedAndNeverLaunched() {
    Scheduler s = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(s, "n-1", 1, 1, 0);
    s.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0, 0);
    s.step(0.1);
    SchedulerFixture.completeWrites(s, TransactionOutcome.UNKNOWN, 0.2);
    s.onTaskBatch(new TaskBatchKey("j-1", 0), SchedulerFixture.claimedRecord("n-1", 1), 6, 0.21);
    s.onHeartbeat(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 0.25);
    assertThat(s.commandsFor(SchedulerFixture.heartbeat("n-1", 1, 2, 1), 0.25)).isEmpty();
    assertThat(SchedulerFixture.pendingLaunches(s)).isZero();
    SchedulerFixture.commitAll(s, 7, 0.3);
    assertThat(SchedulerFixture.committedWrites(s)).isPositive(); // It goes back to the queue.
  }

  @Test
  void teamLimitHoldsWhileOneMachineIsCutOff() {
    SimWorld w = world(11);
    SimJob j = w.users.job("j-000011", 12, 4, 0, false);
    w.users.submit(0, w.users.job("j-000012", 5, 4, 30, true));
    w.loop.run(16);
    assertThat(
            w.users.answer(0, "POST", "/v1/jobs", Json.write(w.users.body(j))).path("http").asInt())
        .isEqualTo(422); // A service must fit the limit as a whole.
    w.users.submit(0, w.users.job("j-000013", 20, 4, 10, true));
    w.loop.run(10);
    String machine = w.workers.keySet().iterator().next();
    w.cutOff(machine);
    w.loop.run(60);
    fine(w);
  }

  @Test
  void jobOfMoreTaskBatchesThanOneTransactionHoldsEnds() {
    SimWorld w = world(12);
    SimJob j = w.users.job("j-000014", 7000, 0.01, 1, true);
    w.users.submit(0, j);
    w.loop.run(200);
    assertThat(w.users.stage(1, j.id)).isEqualTo("done");
    assertThat(w.store.items.keySet()).noneMatch(k -> k.startsWith(StateCodec.TASK_BATCHES));
    fine(w);
  }
}

package graderelay.core;

import static graderelay.sim.WorldAssertions.fine;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.sim.RandomDay;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Dependencies between jobs, and the lowered limits of the store: cases that the tests of whole
 * pipelines do not cover.
 */
class DependencyEdgeCasesTest {
  private static final String CANCELLED = "j-000001";
  private static final String DEPENDENT = "j-000002";
  private static final String OTHER = "j-000003";

  /**
   * The dependents of a cancelled job never ran, so the leader ends them at once. The cancelled job
   * itself ends only when its tasks are proven gone, which a machine that stops responding can
   * delay.
   */
  @Test
  void dependentsOfCancelledJobEndWhileItsOwnTasksCannotBeProvenGone() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    scheduler.onJob(SchedulerFixture.array(CANCELLED, 1), false, 5, 0, 0);
    JobSpec dependent = SchedulerFixture.array(DEPENDENT, 1);
    scheduler.onJob(dependent.withDependencies(List.of(CANCELLED)), false, 6, 0, 0);
    SchedulerFixture.commitAll(scheduler, 10, 0.1);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    scheduler.onJob(
        SchedulerFixture.array(CANCELLED, 1), true, 11, 0, 1); // The machine sends no heartbeat.
    scheduler.step(1.2);
    assertThat(ends(scheduler)).containsExactly(DEPENDENT);
  }

  /**
   * When hundreds of dependents are cancelled together, writing their ends takes many seconds'
   * worth of changes. A new job must be claimed before all of them are written.
   */
  @Test
  void endsOfHundredsOfDependentsDoNotDelayClaimsOfOtherJobs() {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of(), 12);
    scheduler.onRecordsLoaded(0);
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 0);
    scheduler.onJob(SchedulerFixture.array(CANCELLED, 1), false, 5, 0, 0);
    for (int i = 0; i < 500; i++) {
      JobSpec dependent = SchedulerFixture.array(String.format("j-%06d", 100 + i), 1);
      scheduler.onJob(dependent.withDependencies(List.of(CANCELLED)), false, 6 + i, 0, 0);
    }
    scheduler.onJob(SchedulerFixture.array(CANCELLED, 1), true, 600, 0, 1);
    scheduler.step(1.1);
    assertThat(ends(scheduler)).hasSizeBetween(1, 4);
    scheduler.onJob(SchedulerFixture.array(OTHER, 1), false, 601, 1.2, 1.2);
    scheduler.step(1.3);
    assertThat(SchedulerFixture.claimCount(scheduler, "n-1")).isEqualTo(1);
    Set<String> ended = new HashSet<>();
    for (int i = 0; i < 600; i++) {
      ended.addAll(ends(scheduler));
      SchedulerFixture.completeWrites(scheduler, TransactionOutcome.COMMITTED, 2 + i * 0.1);
      scheduler.step(2.05 + i * 0.1);
    }
    assertThat(ended).hasSize(501); // All of them, at the rate of the store.
  }

  private static List<String> ends(Scheduler scheduler) {
    return SchedulerFixture.pendingActions(scheduler).stream()
        .filter(action -> action instanceof Action.Write)
        .flatMap(action -> ((Action.Write) action).jobEnds().stream())
        .map(Action.JobEnd::job)
        .toList();
  }

  /**
   * A dependent's waiting time counts from the end of its last dependency, also under a new leader,
   * which has that time only from the final record: a dependent that has just become ready does not
   * pass jobs that have waited for longer, and one that became ready long ago does.
   */
  @ParameterizedTest
  @CsvSource({"false, 290, false", "false, 100, true", "true, 290, false", "true, 100, true"})
  void waitingTimeOfDependentCountsFromEndOfItsDependencies(
      boolean failover, double readyAt, boolean passesOthers) {
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1);
    JobSpec dependent = SchedulerFixture.array(DEPENDENT, 4).withDependencies(List.of(CANCELLED));
    JobSpec other = SchedulerFixture.arrayWithPriority(OTHER, Priority.NORMAL, 4, null);
    if (failover) {
      scheduler.onJob(dependent, false, 6, 0, 300);
      scheduler.onJob(other, false, 7, 250, 300);
      scheduler.onRecordsLoaded(300);
      scheduler.onJobEnd(CANCELLED, false, readyAt, 300);
    } else {
      scheduler.onRecordsLoaded(0);
      scheduler.onJob(SchedulerFixture.array(CANCELLED, 1), false, 5, 0, 0);
      scheduler.onJob(dependent, false, 6, 0, 0);
      scheduler.onJobEnd(CANCELLED, false, readyAt, readyAt);
      scheduler.onJobDeleted(CANCELLED, readyAt);
      scheduler.onJob(other, false, 7, 250, 300);
    }
    SchedulerFixture.exchangeHeartbeat(scheduler, "n-1", 1, 1, 300); // Room for four tasks.
    SchedulerFixture.commitAll(scheduler, 10, 300.1);
    assertThat(SchedulerFixture.tasksStarted(scheduler, DEPENDENT)).isEqualTo(passesOthers ? 4 : 0);
    assertThat(SchedulerFixture.tasksStarted(scheduler, OTHER)).isEqualTo(passesOthers ? 0 : 4);
  }

  /**
   * Task batches of new jobs have to fit the lowered limits in the plain form, the one that the
   * version in production reads.
   */
  @Test
  void taskBatchesOfNewJobsFitTheLoweredLimitsInPlainForm() {
    SimWorld world =
        new SimWorld(431, WorldShape.of(3).fleet(30, List.of("a", "b")), RandomDay.LOWER);
    world.loop.run(3);
    SimJob job = world.users.job("j-000780", 900, 0.2, 6, true);
    world.users.submit(0, job);
    int plainCount = 0;
    for (int i = 0; i < 200; i++) {
      world.loop.run(0.2);
      for (var record : world.store.items.tailMap(StateCodec.TASK_BATCHES).entrySet()) {
        if (record.getKey().startsWith(StateCodec.TASK_BATCHES)) {
          JsonNode taskBatch = record.getValue().value();
          assertThat(Json.write(taskBatch).length)
              .isLessThanOrEqualTo(RandomDay.LOWER.valueBytes());
          assertThat(taskBatch.has("a") || taskBatch.has("done")).as("plain").isTrue();
          plainCount += taskBatch.has("a") ? 1 : 0;
        }
      }
    }
    assertThat(plainCount).isPositive();
    fine(world);
  }
}

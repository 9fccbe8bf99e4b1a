package graderelay.core;

import static graderelay.core.SchedulerFixture.commitAll;
import static graderelay.core.SchedulerFixture.heartbeat;
import static graderelay.core.SchedulerFixture.pendingActions;
import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.core.SchedulerFixture.scheduler;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against reaps after which a late copy of a direct launch could start a task again. */
class ReapFencingTest {
  private static final String MACHINE = "n-1";
  private static final long TERM = 1;
  private static final String TASK = SchedulerFixture.array("j-1", 2).taskId(0);

  private final Scheduler scheduler = scheduler(TERM);
  private long seq = 1;

  /** The tasks of a job are claimed, and launched directly. */
  private List<Action.SendCommands> launch(String job, int tasks, double now) {
    scheduler.onJob(SchedulerFixture.array(job, tasks), false, 5, now, now);
    commitAll(scheduler, 10, now);
    List<Action.SendCommands> sent = new ArrayList<>();
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands commands) {
        pendingActions(scheduler).remove(action);
        sent.add(commands);
      }
    }
    return sent;
  }

  private HeartbeatResponse exchange(long term, double now, Heartbeat.TaskStatus... tasks) {
    Heartbeat heartbeat = heartbeat(MACHINE, 1, ++seq, term, tasks);
    scheduler.onHeartbeat(heartbeat, now);
    HeartbeatResponse response = scheduler.respond(heartbeat, now);
    scheduler.onHeartbeatResponse(MACHINE, now);
    return response;
  }

  private void executed(List<Action.SendCommands> sent, double now) {
    sent.forEach(
        commands ->
            scheduler.onCommandDelivery(commands, CommandDeliveryOutcome.EXECUTED, null, now));
  }

  /** Grants the raises that are requested, and returns how many there were. */
  private int raiseTerm(double now) {
    int raises = 0;
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.RaiseTerm) {
        pendingActions(scheduler).remove(action);
        scheduler.onTerm(scheduler.term() + 1, now);
        raises++;
      }
    }
    return raises;
  }

  private static Heartbeat.TaskStatus exited(String task) {
    return new Heartbeat.TaskStatus(task, 1, Heartbeat.Stage.EXITED, "done", false);
  }

  private static Heartbeat.TaskStatus running(String task) {
    return new Heartbeat.TaskStatus(task, 1, Heartbeat.Stage.RUNNING, "", false);
  }

  private static List<WorkerCommand> reaps(HeartbeatResponse response) {
    return response.commands().stream().filter(c -> c instanceof WorkerCommand.Reap).toList();
  }

  @Test
  void attemptThatWasLaunchedDirectlyIsReapedUnderHigherTermOnly() {
    registerMachine(scheduler, MACHINE, 0);
    executed(launch("j-1", 1, 1), 1.1);
    exchange(TERM, 2, exited(TASK));
    commitAll(scheduler, 11, 2.1);
    HeartbeatResponse unfenced = exchange(TERM, 3, exited(TASK));
    assertThat(unfenced.term()).isEqualTo(TERM);
    assertThat(reaps(unfenced)).isEmpty();
    assertThat(raiseTerm(3.1)).isEqualTo(1);
    HeartbeatResponse fenced = exchange(TERM, 4, exited(TASK));
    assertThat(fenced.term()).isGreaterThan(TERM);
    assertThat(reaps(fenced)).containsExactly(new WorkerCommand.Reap(TASK, 1));
  }

  @Test
  void failedRaiseKeepsTheAttemptListedUntilAnotherOneSucceeds() {
    registerMachine(scheduler, MACHINE, 0);
    executed(launch("j-1", 1, 1), 1.1);
    exchange(TERM, 2, exited(TASK));
    commitAll(scheduler, 11, 2.1);
    pendingActions(scheduler).removeIf(action -> action instanceof Action.RaiseTerm);
    scheduler.onTerm(0, 2.2);
    assertThat(reaps(exchange(TERM, 4, exited(TASK)))).isEmpty();
    assertThat(raiseTerm(4.1)).isEqualTo(1);
    assertThat(reaps(exchange(TERM, 5, exited(TASK)))).hasSize(1);
  }

  @Test
  void responseDoesNotMakeTheWorkerRefuseLaunchThatIsInFlight() {
    registerMachine(scheduler, MACHINE, 0);
    executed(launch("j-1", 1, 1), 1.1);
    exchange(TERM, 2, exited(TASK));
    raiseTerm(2);
    final String next = SchedulerFixture.array("j-2", 1).taskId(0);
    final List<Action.SendCommands> inFlight = launch("j-2", 1, 2.5);
    assertThat(inFlight).isNotEmpty();
    HeartbeatResponse response = exchange(TERM, 3, exited(TASK));
    assertThat(response.term()).isEqualTo(inFlight.get(0).term());
    assertThat(reaps(response)).isEmpty();
    executed(inFlight, 3.1);
    assertThat(reaps(exchange(TERM, 4, exited(TASK), running(next)))).hasSize(1);
  }

  @Test
  void raiseForOneMachineLeavesTheTermOfOthers() {
    registerMachine(scheduler, MACHINE, 0);
    executed(launch("j-1", 1, 1), 1.1);
    registerMachine(scheduler, "n-2", 1.5);
    exchange(TERM, 2, exited(TASK));
    raiseTerm(2.1);
    exchange(TERM, 3, exited(TASK));
    Heartbeat other = heartbeat("n-2", 1, 2, TERM);
    scheduler.onHeartbeat(other, 3.5);
    assertThat(scheduler.respond(other, 3.5).term()).isEqualTo(TERM);
  }

  @Test
  void termsOfNewReservationReachEveryMachine() {
    registerMachine(scheduler, MACHINE, 0);
    scheduler.onTerm(TERM + 100, 1);
    assertThat(exchange(TERM, 2).term()).isEqualTo(TERM + 100);
  }
}

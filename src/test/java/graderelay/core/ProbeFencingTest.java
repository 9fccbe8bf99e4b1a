package graderelay.core;

import static graderelay.core.SchedulerFixture.commitAll;
import static graderelay.core.SchedulerFixture.pendingActions;
import static graderelay.core.SchedulerFixture.registerMachine;
import static graderelay.core.SchedulerFixture.scheduler;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against stops that wait for a lease because no probe fences the launch they wait for. */
class ProbeFencingTest {
  private static final String MACHINE = "n-1";

  private final Scheduler scheduler = scheduler(1);

  private List<Action.SendCommands> takeDirectMessages() {
    List<Action.SendCommands> messages = new ArrayList<>();
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands message) {
        pendingActions(scheduler).remove(action);
        messages.add(message);
      }
    }
    return messages;
  }

  @Test
  void probeOfSilentMachineFencesLaunchThatBlocksStop() {
    registerMachine(scheduler, MACHINE, 0);
    scheduler.onJob(SchedulerFixture.array("j-1", 1), false, 5, 0.5, 0.5);
    commitAll(scheduler, 10, 1);
    for (Action.SendCommands launch : takeDirectMessages()) {
      scheduler.onCommandDelivery(launch, CommandDeliveryOutcome.UNKNOWN, null, 3);
    }
    scheduler.onCancelled("j-1", 3);
    takeDirectMessages(); // The kills that were sent at once, under the term of then.
    scheduler.onTerm(2, 3.5);
    scheduler.tick(5);
    assertThat(takeDirectMessages())
        .isNotEmpty()
        .allSatisfy(probe -> assertThat(probe.term()).isEqualTo(2));
  }
}

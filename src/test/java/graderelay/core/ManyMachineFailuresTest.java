package graderelay.core;

import static graderelay.core.SchedulerFixture.machineName;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Many machines that fail at once. */
class ManyMachineFailuresTest {
  @Test
  void whenHundredsFallSilentThoseWithServicesAreAskedFirst() {
    Scheduler s = SchedulerFixture.scheduler(1);
    for (int i = 0; i < 300; i++) {
      SchedulerFixture.exchangeHeartbeat(s, machineName(i), 1, 1, 0);
    }
    s.onJob(SchedulerFixture.service("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(s, 10, 0.2);
    Set<String> hosts = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      if (SchedulerFixture.claimCount(s, machineName(i)) > 0) {
        hosts.add(machineName(i));
      }
    }
    assertThat(hosts).hasSizeGreaterThan(5);
    SchedulerFixture.pendingActions(s).clear();
    s.tick(8); // Nobody has sent a heartbeat for four intervals.
    Set<String> asked = new HashSet<>();
    for (Action a : SchedulerFixture.pendingActions(s)) {
      if (a instanceof Action.SendCommands c) {
        asked.add(c.machine());
      }
    }
    assertThat(asked).containsAll(hosts);
    // What a third of a core can ask in a second, and no more.
    assertThat(asked).hasSizeLessThanOrEqualTo(68);
  }

  @Test
  void whenMachinesDieTheEndsOfReplicasAreWrittenBeforeThoseOfArrays() {
    Scheduler s =
        SchedulerFixture.loadingScheduler(1, Map.of(), 10); // Four changes may be under way.
    s.loaded(0);
    for (int i = 0; i < 6; i++) {
      SchedulerFixture.exchangeHeartbeat(s, machineName(i), 1, 1, 0);
    }
    for (int k = 0; k < 9; k++) {
      // The services come last.
      s.onJob(
          k < 6 ? SchedulerFixture.array("j-a" + k, 2) : SchedulerFixture.service("j-s" + k, 2),
          false,
          5,
          0,
          0);
      SchedulerFixture.commitAll(s, 10 + k, 0.1 + k * 0.1);
    }
    SchedulerFixture.pendingActions(s).clear();
    s.tick(60); // Every lease is over.
    List<String> ended = new ArrayList<>();
    for (Action a : SchedulerFixture.pendingActions(s)) {
      if (a instanceof Action.Write w) {
        w.taskBatches().forEach(p -> ended.add(p.key().job()));
      }
    }
    assertThat(ended).hasSize(4).contains("j-s6", "j-s7", "j-s8");
  }
}

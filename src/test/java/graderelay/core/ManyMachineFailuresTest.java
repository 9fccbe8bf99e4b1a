package graderelay.core;

import static graderelay.core.SchedulerFixture.machineName;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Order of probes and task ends when many machines fail at once. */
class ManyMachineFailuresTest {
  @Test
  void probesMachinesWithServicesFirstWhenHundredsAreSilent() {
    Scheduler scheduler = SchedulerFixture.scheduler(1);
    for (int i = 0; i < 300; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, machineName(i), 1, 1, 0);
    }
    scheduler.onJob(SchedulerFixture.service("j-1", 24), false, 5, 0.1, 0.1);
    SchedulerFixture.commitAll(scheduler, 10, 0.2);
    Set<String> machinesWithServices = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      if (SchedulerFixture.claimCount(scheduler, machineName(i)) > 0) {
        machinesWithServices.add(machineName(i));
      }
    }
    assertThat(machinesWithServices).hasSizeGreaterThan(5);
    SchedulerFixture.pendingActions(scheduler).clear();
    scheduler.tick(8); // No machine has sent a heartbeat for four intervals.
    Set<String> probed = new HashSet<>();
    for (Action action : SchedulerFixture.pendingActions(scheduler)) {
      if (action instanceof Action.SendCommands sent) {
        probed.add(sent.machine());
      }
    }
    assertThat(probed).containsAll(machinesWithServices);
    // The limit on direct commands per second, which takes about a third of a CPU core.
    assertThat(probed).hasSizeLessThanOrEqualTo(68);
  }

  @Test
  void writesEndsOfServiceTasksBeforeArrayTasksWhenMachinesFail() {
    // A rate of ten changes per second allows four changes in flight.
    Scheduler scheduler = SchedulerFixture.loadingScheduler(1, Map.of(), 10);
    scheduler.onRecordsLoaded(0);
    for (int i = 0; i < 6; i++) {
      SchedulerFixture.exchangeHeartbeat(scheduler, machineName(i), 1, 1, 0);
    }
    for (int index = 0; index < 9; index++) {
      // The services are submitted last.
      scheduler.onJob(
          index < 6
              ? SchedulerFixture.array("j-a" + index, 2)
              : SchedulerFixture.service("j-s" + index, 2),
          false,
          5,
          0,
          0);
      SchedulerFixture.commitAll(scheduler, 10 + index, 0.1 + index * 0.1);
    }
    SchedulerFixture.pendingActions(scheduler).clear();
    scheduler.tick(60); // All leases have expired.
    List<String> ended = new ArrayList<>();
    for (Action action : SchedulerFixture.pendingActions(scheduler)) {
      if (action instanceof Action.Write write) {
        write.taskBatches().forEach(put -> ended.add(put.key().job()));
      }
    }
    assertThat(ended).hasSize(4).contains("j-s6", "j-s7", "j-s8");
  }
}

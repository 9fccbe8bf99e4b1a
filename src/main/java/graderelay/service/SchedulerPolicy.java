package graderelay.service;

import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Policy;
import graderelay.core.TaskBatchRecord;
import graderelay.state.StateClient;

/** Builds the core's {@link Policy} from the settings and what the store allows now. */
final class SchedulerPolicy {
  /**
   * Worker commands sent directly in a second, for each core that a controller has: each may cost a
   * connection, about a millisecond, so this many take about a fifth of its processor time.
   */
  private static final double DIRECT_COMMANDS_PER_CORE_S = 200;

  private SchedulerPolicy() {}

  /** The policy of a term that starts now. */
  static Policy of(Settings settings, StateClient state, OperatorSettings operators) {
    return new Policy(
        settings.teams(),
        settings.delegateZones(),
        settings.delegateGrantS(),
        settings.heartbeatIntervalS(),
        settings.leaseS(),
        settings.listLagS(),
        settings.minStoreLimits().txnOps(),
        (int)
            ((state.hasReducedLimits() ? settings.minStoreLimits() : settings.currentStoreLimits())
                    .valueKib()
                * 1024),
        state.budget().leaderChangesPerS(),
        settings.cpuShare() * DIRECT_COMMANDS_PER_CORE_S,
        settings.startObjectivesS(),
        settings.startObjectiveStepsS(),
        settings.completionObjectivesS(),
        operators.tuning());
  }

  /** The most tasks in one task batch record, at least one. */
  static int mostBatchTasks(Settings settings) {
    // New records must fit the limits that the store will have later as well.
    return Math.max(
        1,
        (int) (settings.minStoreLimits().valueKib() * 1024 / TaskBatchRecord.MAX_BYTES_PER_TASK));
  }
}

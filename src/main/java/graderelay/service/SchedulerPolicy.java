package graderelay.service;

import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Policy;
import graderelay.core.TaskBatchRecord;
import graderelay.state.StateClient;

/** Builds the scheduler core's {@link Policy} from the settings and the store's current limits. */
final class SchedulerPolicy {
  /**
   * Maximum number of commands sent directly to workers per second, for each CPU core of a
   * controller. Each may need a new connection, which takes about 1 ms, so that this rate takes
   * about a fifth of the CPU time.
   */
  private static final double DIRECT_COMMANDS_PER_CORE_PER_S = 200;

  private SchedulerPolicy() {}

  /** Creates the policy of a leader term that starts now. */
  static Policy of(Settings settings, StateClient state, OperatorSettings operatorSettings) {
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
        settings.cpuShare() * DIRECT_COMMANDS_PER_CORE_PER_S,
        settings.startObjectivesS(),
        settings.startObjectiveStepsS(),
        settings.completionObjectivesS(),
        new Policy.LaunchFenceLimits(
            settings.maxCancellationStalenessS(), settings.maxGrantAfterCancellationS()),
        operatorSettings.tuning());
  }

  /** The maximum number of tasks in one task batch record, at least one. */
  static int maxTasksPerBatch(Settings settings) {
    // New records must also fit the store's future limits.
    return Math.max(
        1,
        (int) (settings.minStoreLimits().valueKib() * 1024 / TaskBatchRecord.MAX_BYTES_PER_TASK));
  }
}

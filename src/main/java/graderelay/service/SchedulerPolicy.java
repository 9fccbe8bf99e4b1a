package graderelay.service;

import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.core.Policy;
import graderelay.state.StateClient;

/** Builds the core's {@link Policy} from the settings and what the state service allows now. */
final class SchedulerPolicy {
  private SchedulerPolicy() {}

  /** The policy of a term that starts now. */
  static Policy of(Settings settings, StateClient state, OperatorSettings operators) {
    return new Policy(
        settings.teams(),
        settings.deputies(),
        settings.grantS(),
        settings.reportS(),
        settings.leaseS(),
        settings.listLagS(),
        settings.least().txnOps(),
        (int) ((state.smaller() ? settings.least() : settings.now()).valueKb() * 1024),
        state.ownersChanges(),
        settings.cpuShare() * Constants.DIRECT_PER_CORE_S,
        settings.waits(),
        settings.waitSteps(),
        settings.finishes(),
        operators.tuning());
  }

  /** The most tasks in one slice record, at least one. */
  static int mostSliceTasks(Settings s) {
    // New records fit what the state service will allow as well.
    return Math.max(1, (int) (s.least().valueKb() * 1024 / Constants.SLICE_BYTES_PER_TASK));
  }
}

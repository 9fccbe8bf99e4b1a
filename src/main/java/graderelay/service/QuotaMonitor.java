package graderelay.service;

import graderelay.core.Scheduler;
import graderelay.core.Team;
import graderelay.quota.Amount;
import graderelay.quota.TeamQuota;
import graderelay.state.TeamLimits;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports the quota and usage of teams as metrics, and logs where the settings and the stored
 * limits differ.
 */
final class QuotaMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("quota");
  private static final String METRIC_NAME = "graderelay.quota";
  private static final String STOPPED = "stopped";

  private final TeamLimits limits;
  private final Supplier<Scheduler> core;
  private List<String> loggedDifferences = List.of();

  /**
   * Creates the monitor.
   *
   * @param core provides the scheduler core of the leader term, or null on a follower
   */
  QuotaMonitor(TeamLimits limits, Supplier<Scheduler> core) {
    this.limits = limits;
    this.core = core;
  }

  /**
   * Called after a change of the stored limits; logs their differences from the settings, each set
   * of differences once.
   */
  void onQuotaRecordsChanged() {
    List<String> differences = limits.settingsDifferences();
    if (!differences.equals(loggedDifferences)) {
      loggedDifferences = differences;
      differences.forEach(
          difference -> LOG.warn("{}; the stored limits take precedence", difference));
    }
  }

  /** The quota of each team and, on the leader, its usage, as samples of the metric. */
  List<Metrics.Sample> samples() {
    List<Metrics.Sample> samples = new ArrayList<>();
    samples.add(newSample("settings_differ", "", limits.settingsDifferences().size()));
    limits.malformedLimits().keySet().forEach(team -> samples.add(newSample(STOPPED, team, 1)));
    for (Team team : limits.teams()) {
      TeamQuota quota = team.quota();
      addAmountSamples(samples, "guarantee", team.name(), quota.guarantee());
      addAmountSamples(samples, "limit", team.name(), quota.limit());
      if (core.get() != null && limits.usesStoredLimits()) {
        Scheduler.TeamUsage usage = core.get().teamUsage(team.name());
        Amount claims = usage.standing().used();
        addAmountSamples(samples, "used", team.name(), claims);
        addAmountSamples(samples, "reserved", team.name(), usage.standing().reserved());
        addAmountSamples(
            samples, "beyond_guarantee", team.name(), claims.excessOver(quota.guarantee()));
        addAmountSamples(samples, "waiting", team.name(), usage.waitingAmount());
        int stopped = usage.standing().stoppedBecause() == null ? 0 : 1;
        samples.add(newSample(STOPPED, team.name(), stopped));
      }
    }
    return samples;
  }

  private static void addAmountSamples(
      List<Metrics.Sample> samples, String quantity, String team, Amount amount) {
    samples.add(newSample(quantity + "_cpus", team, amount.cpus()));
    samples.add(newSample(quantity + "_gpus", team, amount.gpus()));
  }

  private static Metrics.Sample newSample(String quantity, String team, double value) {
    return new Metrics.Sample(METRIC_NAME, Tags.of("what", quantity, "team", team), value);
  }
}

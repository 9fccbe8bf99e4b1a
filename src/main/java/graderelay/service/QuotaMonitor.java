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

/** Shows operators the quota and usage of teams, and where settings and stored limits differ. */
final class QuotaMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("quota");
  private static final String NAME = "graderelay.quota";
  private static final String STOPPED = "stopped";

  private final TeamLimits limits;
  private final Supplier<Scheduler> core;
  private List<String> logged = List.of();

  /**
   * Makes the monitor.
   *
   * @param core the core of the leader's term, or null on a follower
   */
  QuotaMonitor(TeamLimits limits, Supplier<Scheduler> core) {
    this.limits = limits;
    this.core = core;
  }

  /** The records have changed: their differences from the settings are logged once. */
  void onQuota() {
    List<String> differences = limits.settingsDifferences();
    if (!differences.equals(logged)) {
      logged = differences;
      differences.forEach(difference -> LOG.warn("{}; the stored limits count", difference));
    }
  }

  /** The quota of each team and, on the leader, its usage. */
  List<Metrics.Reading> readings() {
    List<Metrics.Reading> readings = new ArrayList<>();
    readings.add(reading("settings_differ", "", limits.settingsDifferences().size()));
    limits.malformedLimits().keySet().forEach(team -> readings.add(reading(STOPPED, team, 1)));
    for (Team team : limits.teams()) {
      TeamQuota quota = team.quota();
      add(readings, "guarantee", team.name(), quota.guarantee());
      add(readings, "limit", team.name(), quota.limit());
      if (core.get() != null && limits.usesStoredLimits()) {
        Scheduler.TeamUsage usage = core.get().teamUsage(team.name());
        Amount claims = usage.standing().used();
        add(readings, "used", team.name(), claims);
        add(readings, "reserved", team.name(), usage.standing().reserved());
        add(readings, "beyond_guarantee", team.name(), claims.excessOver(quota.guarantee()));
        add(readings, "waiting", team.name(), usage.waitingAmount());
        int stopped = usage.standing().stoppedBecause() == null ? 0 : 1;
        readings.add(reading(STOPPED, team.name(), stopped));
      }
    }
    return readings;
  }

  private static void add(List<Metrics.Reading> readings, String what, String team, Amount amount) {
    readings.add(reading(what + "_cpus", team, amount.cpus()));
    readings.add(reading(what + "_gpus", team, amount.gpus()));
  }

  private static Metrics.Reading reading(String what, String team, double value) {
    return new Metrics.Reading(NAME, Tags.of("what", what, "team", team), value);
  }
}

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

/** Tells operators how teams stand with their limits, and of settings that say something else. */
final class QuotaMonitor {
  private static final Logger LOG = LoggerFactory.getLogger("quota");
  private static final String NAME = "graderelay.quota";
  private static final String STOPPED = "stopped";

  private final TeamLimits limits;
  private final Supplier<Scheduler> core;
  private List<String> told = List.of();

  QuotaMonitor(TeamLimits limits, Supplier<Scheduler> core) {
    this.limits = limits;
    this.core = core;
  }

  /** The records have changed: what differs from the settings is logged once. */
  void onQuota() {
    List<String> differences = limits.differences();
    if (!differences.equals(told)) {
      told = differences;
      differences.forEach(d -> LOG.warn("{}; the stored limits count", d));
    }
  }

  /** What is in force of each team and, on the leader, what it uses. */
  List<Metrics.Reading> readings() {
    List<Metrics.Reading> readings = new ArrayList<>();
    readings.add(reading("settings_differ", "", limits.differences().size()));
    limits.malformed().keySet().forEach(team -> readings.add(reading(STOPPED, team, 1)));
    for (Team t : limits.teams()) {
      TeamQuota quota = t.quota();
      add(readings, "guarantee", t.name(), quota.guarantee());
      add(readings, "limit", t.name(), quota.limit());
      if (core.get() != null && limits.stored()) {
        Scheduler.TeamUsage usage = core.get().teamUsage(t.name());
        Amount claims = usage.standing().claims();
        add(readings, "used", t.name(), claims);
        add(readings, "reserved", t.name(), usage.standing().account());
        add(readings, "beyond_guarantee", t.name(), claims.beyond(quota.guarantee()));
        add(readings, "waiting", t.name(), usage.waiting());
        int stopped = usage.standing().stoppedBecause() == null ? 0 : 1;
        readings.add(reading(STOPPED, t.name(), stopped));
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

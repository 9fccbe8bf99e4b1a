package graderelay.state;

import graderelay.core.JobSpec;
import graderelay.core.Team;
import graderelay.quota.Amount;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/** The guarantees and limits in force: those stored, or those of the settings while none are. */
public final class TeamLimits {
  private final QuotaRecords records;
  private final Map<String, TeamQuota> settings = new TreeMap<>();
  private final List<Team> settingsTeams;

  /** Chooses between the stored limits and the teams of this controller's settings. */
  public TeamLimits(QuotaRecords records, List<Team> settings) {
    this.records = records;
    this.settingsTeams = List.copyOf(settings);
    settings.forEach(t -> this.settings.put(t.name(), t.quota()));
  }

  /** True if the stored limits are in force, and not those of the settings. */
  public boolean stored() {
    return records.inForce();
  }

  /** Teams whose stored limits can't be read, with the reason; a sorted copy. */
  public Map<String, String> malformed() {
    Map<String, String> malformed = new TreeMap<>();
    if (stored()) {
      records
          .limits()
          .forEach(
              (team, record) -> {
                if (!record.isReadable()) {
                  malformed.put(team, record.malformed());
                }
              });
    }
    return malformed;
  }

  /** All teams whose limits can be read. */
  public List<Team> teams() {
    if (!stored()) {
      return settingsTeams;
    }
    List<Team> teams = new ArrayList<>();
    new TreeMap<>(records.limits())
        .forEach(
            (name, record) -> {
              if (record.isReadable()) {
                teams.add(Team.of(name, record.quota()));
              }
            });
    return teams;
  }

  /**
   * Why the limits, as this controller knows them, will never let a job run; null if they may. The
   * caller has to read the records anew before it tells a user so.
   */
  public String forbids(JobSpec job) {
    TeamQuota quota = settings.get(job.team());
    if (stored()) {
      LimitRecord record = records.limits(job.team());
      if (record != null && !record.isReadable()) {
        return null; // It waits until operators have mended the record.
      }
      quota = record == null ? null : record.quota();
    }
    if (quota == null) {
      return "crew " + job.team() + " is not known";
    }
    int atOnce = job.isService() ? job.tasks() : 1;
    return quota.allows(Amount.needed(job.cpus(), job.gpus()).times(atOnce))
        ? null
        : "the job needs more than the limit of crew " + job.team();
  }

  /** How the settings of this controller differ from the limits that are stored. */
  public List<String> differences() {
    List<String> differences = new ArrayList<>();
    if (!stored()) {
      return differences;
    }
    TreeSet<String> names = new TreeSet<>(settings.keySet());
    names.addAll(records.limits().keySet());
    for (String name : names) {
      TeamQuota here = settings.get(name);
      LimitRecord there = records.limits(name);
      if (here == null) {
        differences.add("team " + name + " is stored and not in the settings");
      } else if (there == null) {
        differences.add("team " + name + " is in the settings and not stored");
      } else if (there.isReadable() && !there.quota().equals(here)) {
        differences.add("team " + name + " has other limits in the settings: " + describe(here));
      }
    }
    return differences;
  }

  private static String describe(TeamQuota quota) {
    return "guarantee " + quota.guarantee() + ", limit " + quota.limit();
  }
}

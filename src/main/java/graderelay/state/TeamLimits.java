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

/** The guarantees and limits in force: those in the store or, until they are, in the settings. */
public final class TeamLimits {
  private final QuotaRecords records;
  private final Map<String, TeamQuota> settingsQuotas = new TreeMap<>();
  private final List<Team> settingsTeams;

  /** Creates limits backed by the stored records, or by the teams of the settings. */
  public TeamLimits(QuotaRecords records, List<Team> settingsTeams) {
    this.records = records;
    this.settingsTeams = List.copyOf(settingsTeams);
    settingsTeams.forEach(team -> this.settingsQuotas.put(team.name(), team.quota()));
  }

  /** True if the stored limits are in force instead of those in the settings. */
  public boolean usesStoredLimits() {
    return records.isInForce();
  }

  /** The teams whose stored limits are malformed, with the reason; a sorted copy. */
  public Map<String, String> malformedLimits() {
    Map<String, String> malformed = new TreeMap<>();
    if (usesStoredLimits()) {
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

  /** All teams whose limits are readable. */
  public List<Team> teams() {
    if (!usesStoredLimits()) {
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
   * The reason why the cached limits will never allow the job to run; null if they may allow it.
   * The caller has to catch up with the store before it rejects a submission for that reason.
   */
  public String rejectionReason(JobSpec job) {
    TeamQuota quota = settingsQuotas.get(job.team());
    if (usesStoredLimits()) {
      LimitRecord record = records.limits(job.team());
      if (record != null && !record.isReadable()) {
        return null; // The job waits until operators have repaired the record.
      }
      quota = record == null ? null : record.quota();
    }
    if (quota == null) {
      return "crew " + job.team() + " is not known";
    }
    int concurrentTasks = job.isService() ? job.tasks() : 1;
    return quota.allows(Amount.roundedUp(job.cpus(), job.gpus()).times(concurrentTasks))
        ? null
        : "the job needs more than the limit of crew " + job.team();
  }

  /** Descriptions of the differences between this controller's settings and the stored limits. */
  public List<String> settingsDifferences() {
    List<String> differences = new ArrayList<>();
    if (!usesStoredLimits()) {
      return differences;
    }
    TreeSet<String> names = new TreeSet<>(settingsQuotas.keySet());
    names.addAll(records.limits().keySet());
    for (String name : names) {
      TeamQuota settingsQuota = settingsQuotas.get(name);
      LimitRecord storedRecord = records.limits(name);
      if (settingsQuota == null) {
        differences.add("team " + name + " is stored and not in the settings");
      } else if (storedRecord == null) {
        differences.add("team " + name + " is in the settings and not stored");
      } else if (storedRecord.isReadable() && !storedRecord.quota().equals(settingsQuota)) {
        differences.add(
            "team " + name + " has other limits in the settings: " + describe(settingsQuota));
      }
    }
    return differences;
  }

  private static String describe(TeamQuota quota) {
    return "guarantee " + quota.guarantee() + ", limit " + quota.limit();
  }
}

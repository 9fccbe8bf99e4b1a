package graderelay.core;

import graderelay.quota.AccountDiscrepancy;
import graderelay.quota.StoredQuota;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes in the stored quotas (limits and accounts) for {@link Scheduler}; while none are stored,
 * the guarantees and limits of the settings count.
 */
final class QuotaUpdates {
  private final ClusterState cluster;
  private final StoredRecords records;

  /** Guarantees and limits of the settings, which count while none are stored. */
  private final List<Team> settingsTeams;

  QuotaUpdates(ClusterState cluster, StoredRecords records, List<Team> settingsTeams) {
    this.cluster = cluster;
    this.records = records;
    this.settingsTeams = settingsTeams;
  }

  /**
   * The stored limits and accounts, or null while they are switched off; to be called after the
   * task batches of the same store update were taken in.
   */
  void onQuota(StoredQuota stored) {
    cluster.roundNeeded = true;
    if (stored == null) {
      if (cluster.admission.enabled()) {
        cluster.admission.disable();
        cluster.policy = cluster.policy.with(settingsTeams);
      }
      return;
    }
    if (!cluster.admission.enabled()) {
      cluster.admission.enable();
      records.trackAllUsage();
    }
    cluster.admission.update(stored);
    cluster.policy = cluster.policy.with(stored.seeded() ? teams(stored) : settingsTeams);
    addDiscrepancies();
  }

  private static List<Team> teams(StoredQuota stored) {
    List<Team> teams = new ArrayList<>();
    stored
        .limits()
        .forEach(
            (name, record) -> {
              if (record.isReadable()) {
                teams.add(Team.of(name, record.quota()));
              }
            });
    return teams;
  }

  /** Adds an action for each account that was found to differ from its committed claims. */
  void addDiscrepancies() {
    for (AccountDiscrepancy discrepancy : cluster.admission.takeDiscrepancies()) {
      cluster.actions.add(new Action.DifferenceFound(discrepancy));
    }
  }

  /** An operator has a team's account rewritten from its committed claims. */
  void replaceAccount(String team) {
    cluster.admission.replaceAccount(team);
    cluster.roundNeeded = true;
  }
}

package graderelay.core;

import graderelay.quota.AccountDiscrepancy;
import graderelay.quota.StoredQuota;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies stored quotas (limits and accounts) for {@link Scheduler}. While none are stored, the
 * guarantees and limits of the settings apply.
 */
final class QuotaUpdates {
  private final ClusterState cluster;
  private final StoredRecords records;

  /** Guarantees and limits of the settings, which apply while none are stored. */
  private final List<Team> settingsTeams;

  QuotaUpdates(ClusterState cluster, StoredRecords records, List<Team> settingsTeams) {
    this.cluster = cluster;
    this.records = records;
    this.settingsTeams = settingsTeams;
  }

  /**
   * Applies the stored limits and accounts. To be called after the task batches of the same store
   * update were applied.
   *
   * @param stored limits and accounts, or null while stored limits are switched off
   */
  void onQuota(StoredQuota stored) {
    cluster.roundNeeded = true;
    if (stored == null) {
      if (cluster.admission.isEnabled()) {
        cluster.admission.disable();
        cluster.policy = cluster.policy.with(settingsTeams);
      }
      return;
    }
    if (!cluster.admission.isEnabled()) {
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

  /** Adds an action for each account that differs from its team's committed claims. */
  void addDiscrepancies() {
    for (AccountDiscrepancy discrepancy : cluster.admission.takeDiscrepancies()) {
      cluster.actions.add(new Action.AccountDiscrepancyFound(discrepancy));
    }
  }

  /** Rewrites a team's account from its committed claims, at an operator's request. */
  void replaceAccount(String team) {
    cluster.admission.requestAccountRewrite(team);
    cluster.roundNeeded = true;
  }
}

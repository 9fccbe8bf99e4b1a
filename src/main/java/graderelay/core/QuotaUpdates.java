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
   * The stored limits and accounts, or null while they are switched off; to be told after the task
   * batches of the same moment.
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
      records.trackAll();
    }
    cluster.admission.update(stored);
    cluster.policy = cluster.policy.with(stored.seeded() ? teams(stored) : settingsTeams);
    tellDifferences();
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

  void tellDifferences() {
    for (AccountDiscrepancy d : cluster.admission.takeDiscrepancies()) {
      cluster.actions.add(new Action.DifferenceFound(d));
    }
  }

  /** An operator wants a team's account written anew from its committed claims. */
  void replaceAccount(String team) {
    cluster.admission.replaceAccount(team);
    cluster.roundNeeded = true;
  }
}

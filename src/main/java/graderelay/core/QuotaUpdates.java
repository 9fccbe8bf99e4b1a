package graderelay.core;

import graderelay.quota.Difference;
import graderelay.quota.StoredQuota;
import java.util.ArrayList;
import java.util.List;

/**
 * Takes in the stored quotas (limits and accounts) for {@link Scheduler}; while none are stored,
 * the guarantees and limits of the settings count.
 */
final class QuotaUpdates {
  private final ClusterState world;
  private final StoredRecords records;

  /** Guarantees and limits of the settings, which count while none are stored. */
  private final List<Team> settingsTeams;

  QuotaUpdates(ClusterState world, StoredRecords records, List<Team> settingsTeams) {
    this.world = world;
    this.records = records;
    this.settingsTeams = settingsTeams;
  }

  /**
   * The stored limits and accounts, or null while they are switched off; to be told after the
   * slices of the same moment.
   */
  void onQuota(StoredQuota stored) {
    world.dirty = true;
    if (stored == null) {
      if (world.admission.enabled()) {
        world.admission.disable();
        world.policy = world.policy.with(settingsTeams);
      }
      return;
    }
    if (!world.admission.enabled()) {
      world.admission.enable();
      records.trackAll();
    }
    world.admission.update(stored);
    world.policy = world.policy.with(stored.seeded() ? teams(stored) : settingsTeams);
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
    for (Difference d : world.admission.takeDifferences()) {
      world.out.add(new Action.DifferenceFound(d));
    }
  }

  /** An operator wants a team's account written anew from its committed claims. */
  void replaceAccount(String team) {
    world.admission.replaceAccount(team);
    world.dirty = true;
  }
}

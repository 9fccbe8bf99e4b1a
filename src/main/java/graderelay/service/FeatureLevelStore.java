package graderelay.service;

import graderelay.config.Settings;
import graderelay.core.Team;
import graderelay.features.ClusterLevel;
import graderelay.features.ClusterStore;
import graderelay.features.Feature;
import graderelay.features.Member;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.FeatureRecords;
import graderelay.state.Leadership;
import graderelay.state.LevelChange;
import graderelay.state.QuotaRecords;
import graderelay.state.StateClient;
import graderelay.state.StoreOutcome;
import graderelay.state.Transaction;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Reads and changes the feature level records in the key-value store, on behalf of the leader. */
final class FeatureLevelStore implements ClusterStore {
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final List<String> members = new ArrayList<>();
  private final int maxTransactionOps;
  private final String localMember;
  private final List<Team> teams;
  private final LongSupplier wallClockMs;

  /**
   * Creates the store of one controller.
   *
   * @param wallClockMs the wall clock, in milliseconds since the epoch
   */
  FeatureLevelStore(
      StateClient state,
      Cache cache,
      Leadership leadership,
      Settings settings,
      LongSupplier wallClockMs) {
    this.localMember = settings.member();
    this.teams = settings.teams();
    this.wallClockMs = wallClockMs;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.maxTransactionOps = settings.least().txnOps();
    members.add(settings.member());
    settings.peers().forEach(peer -> members.add(peer.member()));
  }

  private FeatureRecords records() {
    return cache.features();
  }

  @Override
  public boolean isLeader() {
    return leadership.mayActAsLeader() && cache.isLoaded();
  }

  @Override
  public Map<String, Member> publishedMembers() {
    return records().members();
  }

  @Override
  public boolean isLevelHeld() {
    return records().isOnHold();
  }

  @Override
  public void changeLevel(
      ClusterLevel newLevel, Collection<Member> unchangedMembers, Consumer<Outcome> done) {
    leadership.changeLevel(
        new LevelChange(newLevel, unchangedMembers, members, maxTransactionOps),
        result -> done.accept(toOutcome(result)));
  }

  /** Creates a transaction that fails unless this controller is still the leader. */
  private Transaction newLeaderTransaction() {
    return new Transaction().when(cache.election().leaderKey(), leadership.leaderRevision());
  }

  private void commit(Transaction txn, Consumer<Outcome> done) {
    // The cache must have caught up before the next decision is made.
    state.commit(
        txn,
        Use.CLAIM,
        result -> cache.catchUp(caughtUp -> done.accept(toOutcome(result.outcome()))));
  }

  private static Outcome toOutcome(StoreOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> Outcome.DONE;
      case CONDITION_FAILED -> Outcome.CONFLICT;
      default -> Outcome.UNKNOWN;
    };
  }

  @Override
  public void beginDowngrade(ClusterLevel newLevel, Consumer<Outcome> done) {
    commit(
        newLeaderTransaction()
            .put(FeatureCodec.LEVEL, FeatureCodec.encodeLevel(newLevel))
            .put(FeatureCodec.HOLD, Json.object()),
        done);
  }

  @Override
  public void setLevelHeld(boolean enabled, Consumer<Outcome> done) {
    if (enabled == isLevelHeld()) {
      done.accept(Outcome.DONE);
      return;
    }
    Transaction txn = new Transaction().when(FeatureCodec.HOLD, records().holdRevision());
    commit(
        enabled ? txn.put(FeatureCodec.HOLD, Json.object()) : txn.delete(FeatureCodec.HOLD), done);
  }

  private static String keyPrefixOf(Feature feature) {
    return switch (feature) {
      case SEALED_ELECTION -> StateCodec.SUSPENSIONS;
      case COMPACT_HINTS -> FeatureCodec.HINTS;
      case STORED_LIMITS -> QuotaCodec.ROOT;
    };
  }

  @Override
  public void readKeys(Feature feature, Consumer<List<String>> done) {
    state.list(
        keyPrefixOf(feature),
        Use.CLAIM,
        listing -> done.accept(listing == null ? null : listing.keys()));
  }

  @Override
  public void removeKeys(List<String> keys, Consumer<Outcome> done) {
    Transaction txn = newLeaderTransaction();
    keys.subList(0, Math.min(maxTransactionOps, keys.size())).forEach(txn::delete);
    commit(txn, done);
  }

  @Override
  public void completeRecords(Feature feature, Consumer<Boolean> done) {
    Consumer<Consumer<Boolean>> completionStep =
        switch (feature) {
          case SEALED_ELECTION -> this::sealMembers;
          case COMPACT_HINTS -> this::removePlainHints;
          case STORED_LIMITS -> this::storeLimits;
        };
    completionStep.accept(done);
  }

  /**
   * Stores the next batch of the team limits in the settings, in one transaction; the transaction
   * of the last batch also marks the stored limits as complete.
   */
  private void storeLimits(Consumer<Boolean> done) {
    QuotaRecords quota = cache.quota();
    if (quota.isSeeded()) {
      done.accept(true);
      return;
    }
    List<Team> teamsWithoutLimits = new ArrayList<>();
    teams.stream()
        .filter(team -> quota.limits(team.name()) == null)
        .forEach(teamsWithoutLimits::add);
    Transaction txn = newLeaderTransaction();
    List<Team> batch =
        teamsWithoutLimits.subList(0, Math.min(teamsWithoutLimits.size(), maxTransactionOps - 1));
    for (Team team : batch) {
      String key = QuotaCodec.limitKey(team.name());
      txn.when(key, 0)
          .put(key, QuotaCodec.encodeLimits(team.quota(), localMember, wallClockMs.getAsLong()));
    }
    if (batch.size() == teamsWithoutLimits.size()) {
      txn.when(QuotaCodec.SEEDED, 0).put(QuotaCodec.SEEDED, Json.object());
    }
    commit(txn, outcome -> done.accept(false));
  }

  /** Writes a suspension of every member in the unsealed layout, which only older versions read. */
  private void sealMembers(Consumer<Boolean> done) {
    Transaction txn = newLeaderTransaction();
    int missingCount = 0;
    for (String member : members) {
      if (!cache.election().isSuspendedInUnsealedLayout(member)
          && missingCount < maxTransactionOps) {
        txn.put(StateCodec.suspensionKey(member), StateCodec.encodeSuspension(""));
        missingCount++;
      }
    }
    if (missingCount == 0) {
      done.accept(true);
    } else {
      commit(txn, outcome -> done.accept(false));
    }
  }

  /** Deletes hints in the plain form, since they are no longer updated. */
  private void removePlainHints(Consumer<Boolean> done) {
    List<String> plainHintKeys = new ArrayList<>(cache.hints().images().keySet());
    if (cache.hints().demand() != null) {
      plainHintKeys.add(StateCodec.DEMAND);
    }
    if (plainHintKeys.isEmpty()) {
      done.accept(true);
    } else {
      removeKeys(plainHintKeys, outcome -> done.accept(false));
    }
  }
}

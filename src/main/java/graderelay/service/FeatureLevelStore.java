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

/** The records of feature levels in the key-value store, as the leader changes them. */
final class FeatureLevelStore implements ClusterStore {
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final List<String> members = new ArrayList<>();
  private final int mostChanges;
  private final String member;
  private final List<Team> teams;
  private final LongSupplier clock;

  /**
   * Makes the store for one controller.
   *
   * @param clock the time of day, in milliseconds since the epoch
   */
  FeatureLevelStore(
      StateClient state,
      Cache cache,
      Leadership leadership,
      Settings settings,
      LongSupplier clock) {
    this.member = settings.member();
    this.teams = settings.teams();
    this.clock = clock;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.mostChanges = settings.least().txnOps();
    members.add(settings.member());
    settings.peers().forEach(p -> members.add(p.member()));
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
  public void changeLevel(ClusterLevel to, Collection<Member> on, Consumer<Outcome> done) {
    leadership.changeLevel(
        new LevelChange(to, on, members, mostChanges), result -> done.accept(outcome(result)));
  }

  /** A transaction that fails unless this controller is still the leader. */
  private Transaction asLeader() {
    return new Transaction().when(cache.election().leaderKey(), leadership.leaderRevision());
  }

  private void commit(Transaction txn, Consumer<Outcome> done) {
    // The next decision is made on the records as they are after this one.
    state.commit(
        txn,
        Use.CLAIM,
        result -> cache.catchUp(caughtUp -> done.accept(outcome(result.outcome()))));
  }

  private static Outcome outcome(StoreOutcome outcome) {
    return switch (outcome) {
      case SUCCEEDED -> Outcome.DONE;
      case CONDITION_FAILED -> Outcome.CONFLICT;
      default -> Outcome.UNKNOWN;
    };
  }

  @Override
  public void beginDowngrade(ClusterLevel to, Consumer<Outcome> done) {
    commit(
        asLeader()
            .put(FeatureCodec.LEVEL, FeatureCodec.encodeLevel(to))
            .put(FeatureCodec.HOLD, Json.object()),
        done);
  }

  @Override
  public void setLevelHeld(boolean on, Consumer<Outcome> done) {
    if (on == isLevelHeld()) {
      done.accept(Outcome.DONE);
      return;
    }
    Transaction txn = new Transaction().when(FeatureCodec.HOLD, records().holdRevision());
    commit(on ? txn.put(FeatureCodec.HOLD, Json.object()) : txn.delete(FeatureCodec.HOLD), done);
  }

  private static String prefixOf(Feature feature) {
    return switch (feature) {
      case SEALED_ELECTION -> StateCodec.SUSPENSIONS;
      case COMPACT_HINTS -> FeatureCodec.HINTS;
      case STORED_LIMITS -> QuotaCodec.ROOT;
    };
  }

  @Override
  public void readKeys(Feature feature, Consumer<List<String>> done) {
    state.list(
        prefixOf(feature),
        Use.CLAIM,
        listing -> done.accept(listing == null ? null : listing.keys()));
  }

  @Override
  public void removeKeys(List<String> keys, Consumer<Outcome> done) {
    Transaction txn = asLeader();
    keys.subList(0, Math.min(mostChanges, keys.size())).forEach(txn::delete);
    commit(txn, done);
  }

  @Override
  public void completeRecords(Feature feature, Consumer<Boolean> done) {
    Consumer<Consumer<Boolean>> step =
        switch (feature) {
          case SEALED_ELECTION -> this::sealMembers;
          case COMPACT_HINTS -> this::removePlainHints;
          case STORED_LIMITS -> this::storeLimits;
        };
    step.accept(done);
  }

  /** Stores the settings' limits; the last transaction also records that they are complete. */
  private void storeLimits(Consumer<Boolean> done) {
    QuotaRecords quota = cache.quota();
    if (quota.isSeeded()) {
      done.accept(true);
      return;
    }
    List<Team> missing = new ArrayList<>();
    teams.stream().filter(t -> quota.limits(t.name()) == null).forEach(missing::add);
    Transaction txn = asLeader();
    List<Team> batch = missing.subList(0, Math.min(missing.size(), mostChanges - 1));
    for (Team team : batch) {
      String key = QuotaCodec.limitKey(team.name());
      txn.when(key, 0).put(key, QuotaCodec.encodeLimits(team.quota(), member, clock.getAsLong()));
    }
    if (batch.size() == missing.size()) {
      txn.when(QuotaCodec.SEEDED, 0).put(QuotaCodec.SEEDED, Json.object());
    }
    commit(txn, outcome -> done.accept(false));
  }

  /** Suspends every member in the layout that only older versions read. */
  private void sealMembers(Consumer<Boolean> done) {
    Transaction txn = asLeader();
    int missing = 0;
    for (String member : members) {
      if (!cache.election().isSuspendedInUnsealedLayout(member) && missing < mostChanges) {
        txn.put(StateCodec.suspensionKey(member), StateCodec.encodeSuspension(""));
        missing++;
      }
    }
    if (missing == 0) {
      done.accept(true);
    } else {
      commit(txn, outcome -> done.accept(false));
    }
  }

  /** Removes hints in the older form, which would be ever more out of date. */
  private void removePlainHints(Consumer<Boolean> done) {
    List<String> plain = new ArrayList<>(cache.hints().images().keySet());
    if (cache.hints().demand() != null) {
      plain.add(StateCodec.DEMAND);
    }
    if (plain.isEmpty()) {
      done.accept(true);
    } else {
      removeKeys(plain, outcome -> done.accept(false));
    }
  }
}

package graderelay.state;

import graderelay.features.Feature;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Loads all records into the cache, one prefix after the other: when the controller starts, and
 * again when the store has compacted the changes since the revision of the cache.
 *
 * <p>The leader and the term are loaded first, so that an eligible controller can win an election
 * and renew worker leases while it is still loading the other records.
 */
final class FullLoad {
  /** The prefixes in load order; the election records come first. */
  private static final List<String> PREFIXES =
      List.of(
          StateCodec.LEADER,
          StateCodec.SUSPENSIONS,
          StateCodec.TERM,
          StateCodec.SETTINGS,
          StateCodec.DEMAND,
          StateCodec.IMAGES,
          StateCodec.JOBS,
          StateCodec.TASK_BATCHES);

  private static final String LAST_ELECTION_PREFIX = StateCodec.TERM;

  private final Loop loop;
  private final StateClient stateClient;
  private final RecordTables tables;
  private final Consumer<Consumer<Boolean>> catchUp;
  private final Runnable onLoaded;
  private boolean electionLoaded;
  private boolean loadedBefore;
  private boolean loading;
  private boolean closed;

  /**
   * Creates a load, which begins with {@link #start}.
   *
   * @param catchUp requests a catch-up read, which calls back with true if it succeeded
   * @param onLoaded runs each time all records have been loaded
   */
  FullLoad(
      Loop loop,
      StateClient stateClient,
      RecordTables tables,
      Consumer<Consumer<Boolean>> catchUp,
      Runnable onLoaded) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.tables = tables;
    this.catchUp = catchUp;
    this.onLoaded = onLoaded;
  }

  /** True once the election records have been loaded. */
  boolean isElectionLoaded() {
    return electionLoaded;
  }

  /** Starts to load all records, unless a load is already running. */
  void start() {
    if (closed || loading) {
      return;
    }
    loading = true;
    readNext(new ArrayList<>());
  }

  void close() {
    closed = true;
  }

  private void scheduleRetry() {
    loop.schedule(StateClient.RETRY_DELAY_S, this::start);
  }

  private void readNext(List<Listing> listings) {
    if (listings.size() == PREFIXES.size()) {
      readCompactHints(listings);
      return;
    }
    String prefix = PREFIXES.get(listings.size());
    stateClient.list(
        prefix,
        CallPriority.CLAIM,
        listing -> {
          if (listing == null) {
            loading = false;
            scheduleRetry();
            return;
          }
          listings.add(listing);
          if (prefix.equals(LAST_ELECTION_PREFIX) && !electionLoaded) {
            applyElection(listings);
          }
          readNext(listings);
        });
  }

  /** Loads the compact hints; there are none below the feature level of COMPACT_HINTS. */
  private void readCompactHints(List<Listing> listings) {
    if (!tables.features.gate().mayHaveRecords(Feature.COMPACT_HINTS)) {
      loading = false;
      applyAll(listings);
      return;
    }
    stateClient.list(
        FeatureCodec.HINTS,
        CallPriority.CLAIM,
        listing -> {
          loading = false;
          if (listing == null) {
            scheduleRetry();
          } else {
            listings.add(listing);
            applyAll(listings);
          }
        });
  }

  private void applyElection(List<Listing> listings) {
    tables.applyElection(listings);
    electionLoaded = true;
    tables.notifyElectionLoaded();
  }

  private void applyAll(List<Listing> listings) {
    tables.replaceAll(listings, loadedBefore);
    // The catch-up adds what has changed while the pages were read.
    catchUp.accept(
        caughtUp -> {
          if (caughtUp) {
            loadedBefore = true;
            onLoaded.run();
          } else {
            scheduleRetry();
          }
        });
  }
}

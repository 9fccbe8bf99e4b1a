package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up final states that are not cached. Users poll old jobs, and jobs that were never
 * submitted, repeatedly. A single read-only transaction shows for dozens of ids that they have no
 * final record, so many such polls at once cost only a few requests per second to the store.
 */
public final class FinalStateLookup {
  /** Result of a lookup. */
  public enum Result {
    /** The job has a final state, which is now in the cache. */
    CACHED,
    /** The job has no final state, or was never submitted. */
    ABSENT,

    /** The store could not be read. */
    FAILED
  }

  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final int maxIdsPerTransaction;

  /** Callbacks by job id, in request order, for ids that have not been sent to the store yet. */
  private Map<String, List<Consumer<Result>>> waitingCallbacks = new LinkedHashMap<>();

  private boolean lookupInFlight;
  private double lastLookupAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a lookup.
   *
   * @param txnOps maximum number of changes in a transaction; conditions may be four times as many
   */
  public FinalStateLookup(Loop loop, StateClient stateClient, Cache cache, int txnOps) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.maxIdsPerTransaction = StateClient.maxConditions(txnOps);
  }

  /** Looks up a final state, taking into account everything committed before this call. */
  public void lookUp(String id, Consumer<Result> done) {
    waitingCallbacks.computeIfAbsent(id, key -> new ArrayList<>()).add(done);
    scheduleLookup();
  }

  private void scheduleLookup() {
    if (lookupInFlight || waitingCallbacks.isEmpty()) {
      return;
    }
    lookupInFlight = true;
    double dueAt = lastLookupAt + stateClient.budget().readIntervalS();
    loop.schedule(Math.max(0, dueAt - loop.now()), this::sendLookup);
  }

  /** Sends a transaction conditioned on many ids having no final record. */
  private void sendLookup() {
    lastLookupAt = loop.now();
    Map<String, List<Consumer<Result>>> requested = new HashMap<>();
    Transaction transaction = new Transaction();
    var iterator = waitingCallbacks.entrySet().iterator();
    while (iterator.hasNext() && requested.size() < maxIdsPerTransaction) {
      var entry = iterator.next();
      requested.put(entry.getKey(), entry.getValue());
      transaction.when(StateCodec.finalStateKey(entry.getKey()), 0);
      iterator.remove();
    }
    stateClient.commit(
        transaction,
        CallPriority.READ,
        result -> {
          lookupInFlight = false;
          if (result.succeeded()) {
            requested.values().forEach(callbacks -> runCallbacks(callbacks, Result.ABSENT));
          } else if (result.outcome() == StoreOutcome.CONDITION_FAILED) {
            readOrRetry(requested, idsWithRecord(result.failedKeys()));
          } else {
            requested.values().forEach(callbacks -> runCallbacks(callbacks, Result.FAILED));
          }
          scheduleLookup();
        });
  }

  private static Set<String> idsWithRecord(List<String> failedKeys) {
    Set<String> ids = new HashSet<>();
    for (String key : failedKeys) {
      // If only the fence failed, no id is known to have a record, and all are retried.
      if (key.startsWith(StateCodec.FINAL_STATES)) {
        ids.add(key.substring(StateCodec.FINAL_STATES.length()));
      }
    }
    return ids;
  }

  /**
   * Reads the final records of ids known to have one and looks up the other ids again, ahead of
   * those that are waiting: these may have a final record too.
   */
  private void readOrRetry(
      Map<String, List<Consumer<Result>>> requested, Set<String> idsWithRecord) {
    Map<String, List<Consumer<Result>>> previouslyWaiting = waitingCallbacks;
    waitingCallbacks = new LinkedHashMap<>();
    requested.forEach(
        (id, callbacks) -> {
          if (idsWithRecord.contains(id)) {
            read(id, callbacks);
          } else {
            waitingCallbacks.put(id, callbacks);
          }
        });
    previouslyWaiting.forEach(
        (id, callbacks) ->
            waitingCallbacks.computeIfAbsent(id, key -> new ArrayList<>()).addAll(callbacks));
  }

  private void read(String id, List<Consumer<Result>> callbacks) {
    stateClient.get(
        StateCodec.finalStateKey(id),
        CallPriority.READ,
        result -> {
          if (result.succeeded()) {
            cache.cacheFinalState(id, StateCodec.decodeFinalState(result.entry().value()));
            runCallbacks(callbacks, Result.CACHED);
          } else {
            boolean absent = result.outcome() == StoreOutcome.NOT_FOUND;
            runCallbacks(callbacks, absent ? Result.ABSENT : Result.FAILED);
          }
        });
  }

  private static void runCallbacks(List<Consumer<Result>> callbacks, Result result) {
    callbacks.forEach(callback -> callback.accept(result));
  }
}

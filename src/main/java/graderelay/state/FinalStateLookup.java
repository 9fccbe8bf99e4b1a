package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
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
 * Looks for final states that this controller doesn't know. Users ask again and again about old
 * jobs and about jobs that nobody submitted; one transaction that only compares tells of dozens of
 * ids that they have no final record, so that a storm of such requests costs a few requests a
 * second.
 */
public final class FinalStateLookup {
  /** What a lookup found. */
  public enum Found {
    /** The final state is in the cache now. */
    KNOWN,
    /** The job has no final state, or was never submitted. */
    ABSENT,

    /** The store could not be read. */
    FAILED
  }

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final int mostIds;

  /** Callbacks by id, for ids that are in no transaction yet, in the order of the requests. */
  private Map<String, List<Consumer<Found>>> waiting = new LinkedHashMap<>();

  private boolean looking;
  private double lastLookAt = Double.NEGATIVE_INFINITY;

  /**
   * Makes a lookup.
   *
   * @param txnOps changes in one transaction; it may have four times as many conditions
   */
  public FinalStateLookup(Loop loop, StateClient state, Cache cache, int txnOps) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.mostIds = StateClient.mostConditions(txnOps);
  }

  /** Calls back once everything that had committed before this call has been looked at. */
  public void look(String id, Consumer<Found> then) {
    waiting.computeIfAbsent(id, x -> new ArrayList<>()).add(then);
    lookSoon();
  }

  private void lookSoon() {
    if (looking || waiting.isEmpty()) {
      return;
    }
    looking = true;
    double dueAt = lastLookAt + state.budget().readIntervalS();
    loop.after(Math.max(0, dueAt - loop.now()), this::compare);
  }

  /** Sends one transaction with the condition, for many ids, that they have no final record. */
  private void compare() {
    lastLookAt = loop.now();
    Map<String, List<Consumer<Found>>> asked = new HashMap<>();
    Transaction transaction = new Transaction();
    var next = waiting.entrySet().iterator();
    while (next.hasNext() && asked.size() < mostIds) {
      var idAndAskers = next.next();
      asked.put(idAndAskers.getKey(), idAndAskers.getValue());
      transaction.when(StateCodec.finalStateKey(idAndAskers.getKey()), 0);
      next.remove();
    }
    state.commit(
        transaction,
        Use.READ,
        result -> {
          looking = false;
          if (result.succeeded()) {
            asked.values().forEach(askers -> tell(askers, Found.ABSENT));
          } else if (result.outcome() == StoreOutcome.CONDITION_FAILED) {
            readOrAskAgain(asked, idsWithRecord(result.failedKeys()));
          } else {
            asked.values().forEach(askers -> tell(askers, Found.FAILED));
          }
          lookSoon();
        });
  }

  private static Set<String> idsWithRecord(List<String> failedKeys) {
    Set<String> ids = new HashSet<>();
    for (String key : failedKeys) {
      // It may also be the fence: then nothing is known, and all are asked again.
      if (key.startsWith(StateCodec.FINAL_STATES)) {
        ids.add(key.substring(StateCodec.FINAL_STATES.length()));
      }
    }
    return ids;
  }

  /** Reads those that have a final record, and asks for the others again, as they may too. */
  private void readOrAskAgain(Map<String, List<Consumer<Found>>> asked, Set<String> withRecord) {
    Map<String, List<Consumer<Found>>> waitingBefore = waiting;
    waiting = new LinkedHashMap<>();
    asked.forEach(
        (id, askers) -> {
          if (withRecord.contains(id)) {
            read(id, askers);
          } else {
            waiting.put(id, askers);
          }
        });
    waitingBefore.forEach(
        (id, askers) -> waiting.computeIfAbsent(id, x -> new ArrayList<>()).addAll(askers));
  }

  private void read(String id, List<Consumer<Found>> askers) {
    state.get(
        StateCodec.finalStateKey(id),
        Use.READ,
        result -> {
          if (result.succeeded()) {
            cache.rememberFinalState(id, StateCodec.decodeFinalState(result.entry().value()));
            tell(askers, Found.KNOWN);
          } else {
            boolean absent = result.outcome() == StoreOutcome.NOT_FOUND;
            tell(askers, absent ? Found.ABSENT : Found.FAILED);
          }
        });
  }

  private static void tell(List<Consumer<Found>> askers, Found found) {
    askers.forEach(asker -> asker.accept(found));
  }
}

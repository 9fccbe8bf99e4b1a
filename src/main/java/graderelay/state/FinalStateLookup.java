package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
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
 * Looks for final states that this node doesn't know. Users ask again and again about old jobs and
 * about jobs that nobody submitted; one transaction that only compares tells of dozens of ids that
 * they have no final record, so that a storm of such questions costs a few requests a second.
 */
public final class FinalStateLookup {
  /** What a look found. */
  public enum Found {
    /** The final state is in the cache now. */
    KNOWN,
    ABSENT,
    /** The state service did not tell. */
    FAILED
  }

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final int most;
  private Map<String, List<Consumer<Found>>> waiting = new LinkedHashMap<>();
  private boolean looking;
  private double lastLook = Double.NEGATIVE_INFINITY;

  /**
   * Makes one.
   *
   * @param txnOps changes in one transaction; it may have four times as many conditions
   */
  public FinalStateLookup(Loop loop, StateClient state, Cache cache, int txnOps) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.most = StateClient.mostConditions(txnOps);
  }

  /** Calls back once everything that had committed before this call has been looked at. */
  public void look(String id, Consumer<Found> then) {
    waiting.computeIfAbsent(id, x -> new ArrayList<>()).add(then);
    soon();
  }

  private void soon() {
    if (looking || waiting.isEmpty()) {
      return;
    }
    looking = true;
    loop.after(Math.max(0, lastLook + state.budget().readIntervalS() - loop.now()), this::now);
  }

  private void now() {
    lastLook = loop.now();
    Map<String, List<Consumer<Found>>> asked = new HashMap<>();
    Transaction txn = new Transaction();
    var it = waiting.entrySet().iterator();
    while (it.hasNext() && asked.size() < most) {
      var e = it.next();
      asked.put(e.getKey(), e.getValue());
      txn.when(StateCodec.finalStateKey(e.getKey()), 0);
      it.remove();
    }
    state.commit(
        txn,
        Use.READ,
        r -> {
          looking = false;
          if (r.succeeded()) {
            asked.values().forEach(l -> tell(l, Found.ABSENT));
          } else if (r.outcome() == StoreOutcome.CONDITION_FAILED) {
            sort(asked, r.failedKeys());
          } else {
            asked.values().forEach(l -> tell(l, Found.FAILED));
          }
          soon();
        });
  }

  /** Some have a final record: those are read, and the others asked again, as they may too. */
  private void sort(Map<String, List<Consumer<Found>>> asked, JsonNode failed) {
    Set<String> there = new HashSet<>();
    for (JsonNode key : failed) {
      // It may also be the fence: then nothing is known, and all are asked again.
      if (key.asText().startsWith(StateCodec.FINAL_STATES)) {
        there.add(key.asText().substring(StateCodec.FINAL_STATES.length()));
      }
    }
    Map<String, List<Consumer<Found>>> before = waiting;
    waiting = new LinkedHashMap<>();
    asked.forEach(
        (id, to) -> {
          if (there.contains(id)) {
            read(id, to);
          } else {
            waiting.put(id, to);
          }
        });
    before.forEach((id, to) -> waiting.computeIfAbsent(id, x -> new ArrayList<>()).addAll(to));
  }

  private void read(String id, List<Consumer<Found>> to) {
    state.get(
        StateCodec.finalStateKey(id),
        Use.READ,
        r -> {
          if (r.succeeded()) {
            cache.rememberFinalState(id, StateCodec.decodeFinalState(r.value()));
            tell(to, Found.KNOWN);
          } else {
            tell(to, r.outcome() == StoreOutcome.NOT_FOUND ? Found.ABSENT : Found.FAILED);
          }
        });
  }

  private static void tell(List<Consumer<Found>> to, Found found) {
    to.forEach(t -> t.accept(found));
  }
}

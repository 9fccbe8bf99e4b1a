package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The changes of a simulated store, and the watches that wait for them. */
final class StoreWatches {
  private record Change(String key, JsonNode value, long revision) {}

  /** One open watch; {@code refused} is set while its controller is refused alone. */
  private static final class Watch {
    final String prefix;
    final long after;
    final Exchange exchange;
    final boolean[] refused;
    boolean answered;

    Watch(String prefix, long after, Exchange exchange, boolean[] refused) {
      this.prefix = prefix;
      this.after = after;
      this.exchange = exchange;
      this.refused = refused;
    }
  }

  private final SimStore store;
  private final Loop loop;
  private final List<Change> changes = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();

  StoreWatches(SimStore store, Loop loop) {
    this.store = store;
    this.loop = loop;
  }

  /** Records a change, or with a null value a deletion; {@link #wake} tells of it. */
  void changed(String key, JsonNode value, long revision) {
    changes.add(new Change(key, value, revision));
  }

  /** Answers a watch as soon as there is news for it, or when it has blocked for long enough. */
  void open(Exchange exchange, boolean[] refused) {
    Map<String, String> parameters = StoreQuery.parameters(exchange);
    Watch watch =
        new Watch(
            parameters.get("under"), Long.parseLong(parameters.get("after")), exchange, refused);
    double blockS = Integer.parseInt(parameters.getOrDefault("block_ms", "0")) / 1000.0;
    if (!answer(watch, blockS == 0)) {
      watches.add(watch);
      loop.schedule(
          blockS,
          () -> {
            if (!store.isOut() && answer(watch, true)) {
              watches.remove(watch);
            }
          });
    }
  }

  /** Answers all watches for which there is news. */
  void wake() {
    for (Watch watch : new ArrayList<>(watches)) {
      if (answer(watch, false)) {
        watches.remove(watch);
      }
    }
  }

  /** Answers a watch if it has news or {@code anyway}; returns whether it is answered by now. */
  private boolean answer(Watch watch, boolean anyway) {
    if (watch.answered) {
      return true;
    }
    if (store.isOut() || store.holdWatches || watch.refused[0]) {
      return false;
    }
    ObjectNode answer = Json.object().put("ledger", store.revision());
    ArrayNode news = answer.putArray("news");
    for (Change change : changes) {
      if (change.revision() > watch.after && change.key().startsWith(watch.prefix)) {
        show(news.addObject(), change);
      }
    }
    if (news.isEmpty() && !anyway) {
      return false;
    }
    watch.answered = true;
    watch.exchange.responder().accept(Response.json(200, Json.write(answer)));
    return true;
  }

  private static void show(ObjectNode entry, Change change) {
    if (change.value() == null) {
      entry.put("drop", change.key()).put("mark", change.revision());
    } else {
      entry.put("put", change.key()).put("mark", change.revision()).set("data", change.value());
    }
  }
}

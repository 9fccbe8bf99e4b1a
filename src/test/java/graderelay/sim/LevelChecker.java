package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.FeatureRange;
import graderelay.net.Transport;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * Checks every transaction that commits by the feature level that stood at that moment: its process
 * must support it, and the level may rise only while no older process is up.
 */
final class LevelChecker {
  private static final String PROCESS = "process";

  /** Seconds for which a process may be up before the leader can know that it has changed. */
  private static final double UNNOTICED_S = 5;

  /** A process; {@code range} is null for the version in production, which knows no levels. */
  private record Process(int controller, FeatureRange range, double startedAt) {}

  private final SimWorld world;
  private final Map<Long, Process> processes = new HashMap<>();
  private final Map<Integer, Process> latest = new HashMap<>();
  private final IntPredicate isUp;
  private long next = 1;

  LevelChecker(SimWorld world, IntPredicate isUp) {
    this.world = world;
    this.isUp = isUp;
  }

  /** The way to the outside for a process that starts now; its transactions carry its number. */
  Transport watched(int controller, FeatureRange range, Transport outside) {
    long process = next++;
    Process p = new Process(controller, range, world.loop.now());
    processes.put(process, p);
    latest.put(controller, p);
    return (address, method, path, body, timeoutS, done) ->
        outside.call(
            address,
            method,
            path,
            path.equals("/multi") ? tagged(body, process) : body,
            timeoutS,
            done);
  }

  private static byte[] tagged(byte[] body, long process) {
    return Json.write(((ObjectNode) Json.read(body)).put(PROCESS, process));
  }

  private int level() {
    JsonNode record = world.store.value(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  /** A transaction is about to commit. */
  void committing(JsonNode transaction) {
    Process p = processes.get(transaction.path(PROCESS).asLong());
    JsonNode changes = transaction.path("then");
    if (p == null || changes.isEmpty()) {
      return;
    }
    int level = level();
    if (p.range() != null && !p.range().supports(level)) {
      world.invariants.breaks("level " + level + ", written to by " + p + ": " + changes);
    }
    for (JsonNode change : changes) {
      String key = change.path("put").asText();
      if (p.range() == null && level > 0 && (key.equals(StateCodec.TERM) || stops(change, key))) {
        world.invariants.breaks("level " + level + ", led or confirmed by " + p + ": " + change);
      }
      if (key.equals(FeatureCodec.LEVEL)) {
        raised(level, change.path("data").path("level").asInt());
      }
    }
  }

  private static boolean stops(JsonNode change, String key) {
    return key.startsWith(StateCodec.JOBS) && StateCodec.decodeStopRequested(change.path("data"));
  }

  private void raised(int from, int to) {
    world.invariants.log("level " + from + " to " + to);
    for (Process p : latest.values()) {
      boolean supports = p.range() != null && p.range().supports(to);
      boolean known = world.loop.now() - p.startedAt() > UNNOTICED_S;
      if (to > from && !supports && known && isUp.test(p.controller())) {
        world.invariants.breaks("raised to " + to + " while " + p + " is up");
      }
    }
  }
}

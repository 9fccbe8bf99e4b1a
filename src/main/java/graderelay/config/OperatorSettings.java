package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Policy;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The operators' own settings: kept in the state service, changed only through the administration
 * API, checked field by field. What is not set has the default given here.
 */
public record OperatorSettings(
    int batchCapacity,
    int sampleSize,
    int attemptCap,
    double idleS,
    double spareFactor,
    boolean spotAllowed,
    boolean claimsPaused,
    String logLevel,
    Set<String> cordoned,
    Set<String> drained) {
  /** Tasks. Task batch cap of the design: a record of this many fits a value with room to spare. */
  private static final int BATCH_CAPACITY = 500;

  /** Machines. Sample size of the design, on the ordinary path. */
  private static final int SAMPLE_SIZE = 3;

  /** Failures of one job in a row before it backs off; the design's attempt cap, see design.md. */
  private static final int ATTEMPT_CAP = 3;

  /** Seconds that a machine may be idle: well under the minute that is charged at least. */
  private static final double IDLE_S = 30;

  /** Times the spare room that arrivals of the last minutes suggest. */
  private static final double SPARE_FACTOR = 1.0;

  /** Largest sample size: beyond that a round is no longer a sample. */
  private static final int MOST_SAMPLE = 64;

  /** Largest attempt cap. */
  private static final int MOST_ATTEMPT_CAP = 100;

  /** Seconds; longest idle time that may be set. */
  private static final double MOST_IDLE_S = 3600;

  /** Largest factor for spare room that may be set. */
  private static final double MOST_SPARE = 10;

  /**
   * Machine names in one list of the settings: a whole fleet's. How many there are really room for
   * depends on the state service's values, which the settings' record has to fit.
   */
  private static final int MOST_CORDONED = 4096;

  /** Characters of a machine's name in those lists. */
  private static final int MOST_MACHINE_NAME = 64;

  /** The defaults; a task batch must fit a value of the deployment's state service. */
  public static OperatorSettings defaults(int mostBatchTasks, String logLevel) {
    return new OperatorSettings(
        Math.min(BATCH_CAPACITY, mostBatchTasks),
        SAMPLE_SIZE,
        ATTEMPT_CAP,
        IDLE_S,
        SPARE_FACTOR,
        true,
        false,
        logLevel,
        Set.of(),
        Set.of());
  }

  public Policy.Tuning tuning() {
    return new Policy.Tuning(
        batchCapacity, sampleSize, attemptCap, idleS, spareFactor, spotAllowed, claimsPaused);
  }

  /** The settings with some fields changed; null takes a field back to its default. */
  public OperatorSettings with(JsonNode changes, OperatorSettings defaults, int mostBatchTasks)
      throws BadRequest {
    if (changes == null || !changes.isObject()) {
      throw new BadRequest("values must be an object");
    }
    OperatorSettings s = this;
    for (Iterator<String> names = changes.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      JsonNode v = changes.get(name);
      s =
          v.isNull()
              ? s.set(name, defaults.json().get(name), mostBatchTasks)
              : s.set(name, v, mostBatchTasks);
    }
    return s;
  }

  private OperatorSettings set(String name, JsonNode v, int mostBatchTasks) throws BadRequest {
    if (v == null) {
      throw new BadRequest(name + " is not a setting; there are " + fieldNames());
    }
    ObjectNode n = json();
    switch (name) {
      case "slice_cap" -> n.put(name, count(name, v, 1, mostBatchTasks));
      case "sample_size" -> n.put(name, count(name, v, 1, MOST_SAMPLE));
      case "attempt_cap" -> n.put(name, count(name, v, 1, MOST_ATTEMPT_CAP));
      case "idle_s" -> n.put(name, amount(name, v, 0, MOST_IDLE_S));
      case "spare_factor" -> n.put(name, amount(name, v, 0, MOST_SPARE));
      case "spot_allowed", "claims_paused" -> n.put(name, flag(name, v));
      case "log_level" -> {
        if (!v.isTextual() || !Logs.known(v.textValue())) {
          throw new BadRequest("log_level must be error, info or debug");
        }
        n.put(name, v.textValue());
      }
      case "cordoned", "drained" -> n.set(name, names(name, v));
      default -> throw new BadRequest(name + " is not a setting; there are " + fieldNames());
    }
    return read(n);
  }

  private String fieldNames() {
    List<String> all = new ArrayList<>();
    json().fieldNames().forEachRemaining(all::add);
    return String.join(", ", all);
  }

  private static int count(String name, JsonNode v, int least, int most) throws BadRequest {
    if (!v.isIntegralNumber() || v.longValue() < least || v.longValue() > most) {
      throw new BadRequest(name + " must be an integer from " + least + " to " + most);
    }
    return v.intValue();
  }

  private static double amount(String name, JsonNode v, double least, double most)
      throws BadRequest {
    if (!v.isNumber() || !(v.doubleValue() >= least && v.doubleValue() <= most)) {
      throw new BadRequest(name + " must be a number from " + least + " to " + most);
    }
    return v.doubleValue();
  }

  private static boolean flag(String name, JsonNode v) throws BadRequest {
    if (!v.isBoolean()) {
      throw new BadRequest(name + " must be true or false");
    }
    return v.booleanValue();
  }

  private static ArrayNode names(String name, JsonNode v) throws BadRequest {
    if (!v.isArray() || v.size() > MOST_CORDONED) {
      throw new BadRequest(name + " must be a list of at most " + MOST_CORDONED + " machine names");
    }
    ArrayNode a = Json.array();
    for (JsonNode m : v) {
      if (!m.isTextual() || m.textValue().isEmpty() || m.textValue().length() > MOST_MACHINE_NAME) {
        throw new BadRequest(name + " must hold machine names like n-000231");
      }
      a.add(m.textValue());
    }
    return a;
  }

  public ObjectNode json() {
    ObjectNode n = Json.object();
    n.put("slice_cap", batchCapacity).put("sample_size", sampleSize).put("attempt_cap", attemptCap);
    n.put("idle_s", idleS).put("spare_factor", spareFactor);
    n.put("spot_allowed", spotAllowed).put("claims_paused", claimsPaused);
    n.put("log_level", logLevel);
    ArrayNode c = n.putArray("cordoned");
    cordoned.forEach(c::add);
    ArrayNode d = n.putArray("drained");
    drained.forEach(d::add);
    return n;
  }

  private static OperatorSettings read(JsonNode n) {
    return new OperatorSettings(
        n.path("slice_cap").asInt(),
        n.path("sample_size").asInt(),
        n.path("attempt_cap").asInt(),
        n.path("idle_s").asDouble(),
        n.path("spare_factor").asDouble(),
        n.path("spot_allowed").asBoolean(),
        n.path("claims_paused").asBoolean(),
        n.path("log_level").asText(),
        strings(n.path("cordoned")),
        strings(n.path("drained")));
  }

  /** The names in their order, each once. */
  private static Set<String> strings(JsonNode n) {
    Set<String> s = new LinkedHashSet<>();
    n.forEach(x -> s.add(x.asText()));
    return Collections.unmodifiableSet(s);
  }

  /** The stored record over the defaults; what can't be read there is left at its default. */
  public static OperatorSettings stored(JsonNode n, OperatorSettings defaults, int mostBatchTasks) {
    OperatorSettings s = defaults;
    if (n != null) {
      for (Iterator<String> names = n.fieldNames(); names.hasNext(); ) {
        String name = names.next();
        try {
          s = s.set(name, n.get(name), mostBatchTasks);
        } catch (BadRequest e) {
          // Written by another version: its default serves.
        }
      }
    }
    return s;
  }
}

package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Policy;
import graderelay.wire.BadRequestException;
import graderelay.wire.Json;
import java.util.Iterator;
import java.util.Set;

/**
 * The operators' own settings: kept in the key-value store, changed only through the administration
 * API. What is not set has the default given here. {@link OperatorSettingsEditor} checks changes.
 *
 * @param batchCapacity the most tasks in a task batch
 * @param sampleSize machines that are compared for a placement
 * @param attemptCap failures of one job in a row before it backs off
 * @param idleS seconds that a machine may be idle before it is scaled in
 * @param spareFactor times the spare room that recent arrivals suggest
 * @param spotAllowed true if spot instances may be used
 * @param claimsPaused true if nothing new may be claimed
 * @param logLevel error, info or debug
 * @param cordoned machines on which nothing new starts, in the order given
 * @param drained machines whose tasks are evicted as well, in the order given
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
  /** Tasks in a task batch: a record of so many fits a value with room to spare. */
  private static final int BATCH_CAPACITY = 500;

  /** Machines compared for a placement, on the ordinary path. */
  private static final int SAMPLE_SIZE = 3;

  /** Failures of one job in a row before it backs off; see design.md. */
  private static final int ATTEMPT_CAP = 3;

  /** Seconds that a machine may be idle: well under the minute that is charged at least. */
  private static final double IDLE_S = 30;

  /** Times the spare room that the arrivals of the last minutes suggest. */
  private static final double SPARE_FACTOR = 1.0;

  /** The defaults; a task batch must fit a value of the deployment's key-value store. */
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

  /** The settings that tune the core's decisions. */
  public Policy.Tuning tuning() {
    return new Policy.Tuning(
        batchCapacity, sampleSize, attemptCap, idleS, spareFactor, spotAllowed, claimsPaused);
  }

  /**
   * The settings with some fields changed; null takes a field back to its default.
   *
   * @throws BadRequestException naming the first field that is not known or whose value is not
   *     allowed
   */
  public OperatorSettings with(JsonNode changes, OperatorSettings defaults, int mostBatchTasks)
      throws BadRequestException {
    if (changes == null || !changes.isObject()) {
      throw new BadRequestException("values must be an object");
    }
    OperatorSettingsEditor editor = new OperatorSettingsEditor(this, mostBatchTasks);
    for (Iterator<String> names = changes.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      JsonNode value = changes.get(name);
      editor.set(name, value.isNull() ? defaults.json().get(name) : value);
    }
    return editor.settings();
  }

  /** The settings as they are stored and shown, in the order in which operators see them. */
  public ObjectNode json() {
    ObjectNode tree = Json.object();
    tree.put("slice_cap", batchCapacity);
    tree.put("sample_size", sampleSize);
    tree.put("attempt_cap", attemptCap);
    tree.put("idle_s", idleS);
    tree.put("spare_factor", spareFactor);
    tree.put("spot_allowed", spotAllowed);
    tree.put("claims_paused", claimsPaused);
    tree.put("log_level", logLevel);
    cordoned.forEach(tree.putArray("cordoned")::add);
    drained.forEach(tree.putArray("drained")::add);
    return tree;
  }

  /** The stored record over the defaults; what can't be read there is left at its default. */
  public static OperatorSettings stored(
      JsonNode record, OperatorSettings defaults, int mostBatchTasks) {
    if (record == null) {
      return defaults;
    }
    OperatorSettingsEditor editor = new OperatorSettingsEditor(defaults, mostBatchTasks);
    for (Iterator<String> names = record.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      try {
        editor.set(name, record.get(name));
      } catch (BadRequestException e) {
        // Written by another version: its default serves.
      }
    }
    return editor.settings();
  }
}

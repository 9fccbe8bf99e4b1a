package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Policy;
import graderelay.wire.BadRequestException;
import graderelay.wire.Json;
import java.util.Iterator;
import java.util.Set;

/**
 * Settings that operators change at run time, through the administration API alone. They are kept
 * in the key-value store; settings that are not stored have the defaults of this class. {@link
 * OperatorSettingsEditor} validates changes.
 *
 * @param batchCapacity maximum number of tasks in a task batch
 * @param sampleSize number of machines that are compared for a placement
 * @param attemptCap consecutive failures of a job before it backs off
 * @param idleS seconds without tasks after which a machine is scaled in
 * @param spareFactor factor on the spare capacity derived from recent arrivals
 * @param spotAllowed true if spot instances may be requested
 * @param claimsPaused true if new claims are paused
 * @param logLevel error, info or debug
 * @param cordoned machines on which no new tasks are placed, in the order given
 * @param drained machines whose running tasks are evicted as well, in the order given
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
  /**
   * Default number of tasks in a task batch; a record of this size fits well within a stored value.
   */
  private static final int DEFAULT_BATCH_CAPACITY = 500;

  /** Default number of machines compared for an ordinary placement. */
  private static final int DEFAULT_SAMPLE_SIZE = 3;

  /** Default number of consecutive failures of a job before it backs off; see design.md. */
  private static final int DEFAULT_ATTEMPT_CAP = 3;

  /** Default idle time before scale-in: well below the minimum billing period of one minute. */
  private static final double DEFAULT_IDLE_S = 30;

  /** Default factor on the spare capacity derived from the arrivals of the last minutes. */
  private static final double DEFAULT_SPARE_FACTOR = 1.0;

  /**
   * Returns the defaults.
   *
   * @param maxBatchTasks number of tasks whose task batch record fits a value of the deployment's
   *     key-value store
   * @param logLevel the default log level
   */
  public static OperatorSettings defaults(int maxBatchTasks, String logLevel) {
    return new OperatorSettings(
        Math.min(DEFAULT_BATCH_CAPACITY, maxBatchTasks),
        DEFAULT_SAMPLE_SIZE,
        DEFAULT_ATTEMPT_CAP,
        DEFAULT_IDLE_S,
        DEFAULT_SPARE_FACTOR,
        true,
        false,
        logLevel,
        Set.of(),
        Set.of());
  }

  /** Returns the settings that the core's policy uses. */
  public Policy.Tuning tuning() {
    return new Policy.Tuning(
        batchCapacity, sampleSize, attemptCap, idleS, spareFactor, spotAllowed, claimsPaused);
  }

  /**
   * Returns a copy with some settings changed; a null value resets a setting to its default.
   *
   * @throws BadRequestException if a setting is unknown or its value is invalid; the message names
   *     the first one
   */
  public OperatorSettings with(JsonNode changes, OperatorSettings defaults, int maxBatchTasks)
      throws BadRequestException {
    if (changes == null || !changes.isObject()) {
      throw new BadRequestException("values must be an object");
    }
    OperatorSettingsEditor editor = new OperatorSettingsEditor(this, maxBatchTasks);
    for (Iterator<String> names = changes.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      JsonNode value = changes.get(name);
      editor.set(name, value.isNull() ? defaults.toJson().get(name) : value);
    }
    return editor.settings();
  }

  /**
   * Returns the settings in their stored form, which is also the form and order shown to operators.
   */
  public ObjectNode toJson() {
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

  /** Returns the stored settings, with defaults for those that are missing or invalid. */
  public static OperatorSettings fromStored(
      JsonNode storedSettings, OperatorSettings defaults, int maxBatchTasks) {
    if (storedSettings == null) {
      return defaults;
    }
    OperatorSettingsEditor editor = new OperatorSettingsEditor(defaults, maxBatchTasks);
    for (Iterator<String> names = storedSettings.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      try {
        editor.set(name, storedSettings.get(name));
      } catch (BadRequestException e) {
        // Written by another version of the program: the default applies.
      }
    }
    return editor.settings();
  }
}

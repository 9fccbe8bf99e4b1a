package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.BadRequestException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Validates changes of {@link OperatorSettings} one setting at a time, and applies the valid ones.
 */
final class OperatorSettingsEditor {
  /** Maximum sample size; a larger one would no longer be a sample of the fleet. */
  private static final int MAX_SAMPLE_SIZE = 64;

  /** Maximum attempt cap. */
  private static final int MAX_ATTEMPT_CAP = 100;

  /** Maximum idle time before scale-in, in seconds. */
  private static final double MAX_IDLE_S = 3600;

  /** Maximum factor on the spare capacity. */
  private static final double MAX_SPARE_FACTOR = 10;

  /**
   * Maximum number of machine names in a list: enough for all machines. The effective maximum may
   * be lower, since the record of the settings has to fit a value of the store.
   */
  private static final int MAX_MACHINE_NAMES = 4096;

  /** Maximum length of a machine name in these lists, in characters. */
  private static final int MAX_NAME_LENGTH = 64;

  private final int maxBatchTasks;
  private int batchCapacity;
  private int sampleSize;
  private int attemptCap;
  private double idleS;
  private double spareFactor;
  private boolean spotAllowed;
  private boolean claimsPaused;
  private String logLevel;
  private Set<String> cordoned;
  private Set<String> drained;

  /**
   * Creates an editor that starts from the given settings.
   *
   * @param maxBatchTasks number of tasks whose task batch record fits a stored value
   */
  OperatorSettingsEditor(OperatorSettings settings, int maxBatchTasks) {
    this.maxBatchTasks = maxBatchTasks;
    this.batchCapacity = settings.batchCapacity();
    this.sampleSize = settings.sampleSize();
    this.attemptCap = settings.attemptCap();
    this.idleS = settings.idleS();
    this.spareFactor = settings.spareFactor();
    this.spotAllowed = settings.spotAllowed();
    this.claimsPaused = settings.claimsPaused();
    this.logLevel = settings.logLevel();
    this.cordoned = settings.cordoned();
    this.drained = settings.drained();
  }

  /** Returns the settings with all changes applied so far. */
  OperatorSettings settings() {
    return new OperatorSettings(
        batchCapacity,
        sampleSize,
        attemptCap,
        idleS,
        spareFactor,
        spotAllowed,
        claimsPaused,
        logLevel,
        cordoned,
        drained);
  }

  /**
   * Changes one setting; an invalid value changes nothing.
   *
   * @param value the new value, or null if the setting is unknown
   */
  void set(String name, JsonNode value) throws BadRequestException {
    if (value == null) {
      throw unknownSetting(name);
    }
    switch (name) {
      case "slice_cap" -> batchCapacity = count(name, value, maxBatchTasks);
      case "sample_size" -> sampleSize = count(name, value, MAX_SAMPLE_SIZE);
      case "attempt_cap" -> attemptCap = count(name, value, MAX_ATTEMPT_CAP);
      case "idle_s" -> idleS = number(name, value, MAX_IDLE_S);
      case "spare_factor" -> spareFactor = number(name, value, MAX_SPARE_FACTOR);
      case "spot_allowed" -> spotAllowed = flag(name, value);
      case "claims_paused" -> claimsPaused = flag(name, value);
      case "log_level" -> logLevel = level(value);
      case "cordoned" -> cordoned = machineNames(name, value);
      case "drained" -> drained = machineNames(name, value);
      default -> throw unknownSetting(name);
    }
  }

  private BadRequestException unknownSetting(String name) {
    List<String> known = new ArrayList<>();
    settings().toJson().fieldNames().forEachRemaining(known::add);
    return new BadRequestException(
        name + " is not a setting; known settings: " + String.join(", ", known));
  }

  private static int count(String name, JsonNode value, int max) throws BadRequestException {
    if (!value.isIntegralNumber() || value.longValue() < 1 || value.longValue() > max) {
      throw new BadRequestException(name + " must be an integer from 1 to " + max);
    }
    return value.intValue();
  }

  private static double number(String name, JsonNode value, double max) throws BadRequestException {
    double min = 0;
    if (!value.isNumber() || !(value.doubleValue() >= min && value.doubleValue() <= max)) {
      throw new BadRequestException(name + " must be a number from " + min + " to " + max);
    }
    return value.doubleValue();
  }

  private static boolean flag(String name, JsonNode value) throws BadRequestException {
    if (!value.isBoolean()) {
      throw new BadRequestException(name + " must be true or false");
    }
    return value.booleanValue();
  }

  private static String level(JsonNode value) throws BadRequestException {
    if (!value.isTextual() || !Logging.isKnownLevel(value.textValue())) {
      throw new BadRequestException("log_level must be error, info or debug");
    }
    return value.textValue();
  }

  /** Returns the names in their order, without duplicates. */
  private static Set<String> machineNames(String name, JsonNode value) throws BadRequestException {
    if (!value.isArray() || value.size() > MAX_MACHINE_NAMES) {
      throw new BadRequestException(
          name + " must be a list of at most " + MAX_MACHINE_NAMES + " machine names");
    }
    Set<String> machines = new LinkedHashSet<>();
    for (JsonNode machine : value) {
      if (!isMachineName(machine)) {
        throw new BadRequestException(name + " must hold machine names like n-000231");
      }
      machines.add(machine.textValue());
    }
    return Collections.unmodifiableSet(machines);
  }

  private static boolean isMachineName(JsonNode node) {
    return node.isTextual()
        && !node.textValue().isEmpty()
        && node.textValue().length() <= MAX_NAME_LENGTH;
  }
}

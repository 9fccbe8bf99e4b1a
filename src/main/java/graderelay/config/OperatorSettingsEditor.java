package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.BadRequestException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Checks changes of {@link OperatorSettings}, field by field, and applies those that are good. */
final class OperatorSettingsEditor {
  /** Largest sample size: beyond that a round is no longer a sample. */
  private static final int MOST_SAMPLE = 64;

  /** Largest attempt cap. */
  private static final int MOST_ATTEMPT_CAP = 100;

  /** Longest idle time that may be set, in seconds. */
  private static final double MOST_IDLE_S = 3600;

  /** Largest factor for spare room that may be set. */
  private static final double MOST_SPARE = 10;

  /**
   * Machine names in one list of the settings: those of all machines. How many there is really room
   * for depends on the store's values, which the settings' record has to fit.
   */
  private static final int MOST_MACHINE_NAMES = 4096;

  /** Characters of a machine's name in those lists. */
  private static final int MOST_NAME_LENGTH = 64;

  private final int mostBatchTasks;
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
   * Begins with settings as they are.
   *
   * @param mostBatchTasks the most tasks that one task batch record has room for
   */
  OperatorSettingsEditor(OperatorSettings settings, int mostBatchTasks) {
    this.mostBatchTasks = mostBatchTasks;
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

  /** The settings with the changes so far. */
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
   * Changes one field; nothing changes if the value is not allowed.
   *
   * @param value the new value, or null if the field is not known
   */
  void set(String name, JsonNode value) throws BadRequestException {
    if (value == null) {
      throw unknown(name);
    }
    switch (name) {
      case "slice_cap" -> batchCapacity = count(name, value, mostBatchTasks);
      case "sample_size" -> sampleSize = count(name, value, MOST_SAMPLE);
      case "attempt_cap" -> attemptCap = count(name, value, MOST_ATTEMPT_CAP);
      case "idle_s" -> idleS = number(name, value, MOST_IDLE_S);
      case "spare_factor" -> spareFactor = number(name, value, MOST_SPARE);
      case "spot_allowed" -> spotAllowed = flag(name, value);
      case "claims_paused" -> claimsPaused = flag(name, value);
      case "log_level" -> logLevel = level(value);
      case "cordoned" -> cordoned = machineNames(name, value);
      case "drained" -> drained = machineNames(name, value);
      default -> throw unknown(name);
    }
  }

  private BadRequestException unknown(String name) {
    List<String> known = new ArrayList<>();
    settings().json().fieldNames().forEachRemaining(known::add);
    return new BadRequestException(
        name + " is not a setting; there are " + String.join(", ", known));
  }

  private static int count(String name, JsonNode value, int most) throws BadRequestException {
    if (!value.isIntegralNumber() || value.longValue() < 1 || value.longValue() > most) {
      throw new BadRequestException(name + " must be an integer from 1 to " + most);
    }
    return value.intValue();
  }

  private static double number(String name, JsonNode value, double most)
      throws BadRequestException {
    double least = 0;
    if (!value.isNumber() || !(value.doubleValue() >= least && value.doubleValue() <= most)) {
      throw new BadRequestException(name + " must be a number from " + least + " to " + most);
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
    if (!value.isTextual() || !Logs.known(value.textValue())) {
      throw new BadRequestException("log_level must be error, info or debug");
    }
    return value.textValue();
  }

  /** The names in their order, each once. */
  private static Set<String> machineNames(String name, JsonNode value) throws BadRequestException {
    if (!value.isArray() || value.size() > MOST_MACHINE_NAMES) {
      throw new BadRequestException(
          name + " must be a list of at most " + MOST_MACHINE_NAMES + " machine names");
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
        && node.textValue().length() <= MOST_NAME_LENGTH;
  }
}

package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Logs;
import graderelay.config.OperatorSettings;

/**
 * The operators' settings: the values in the key-value store override the defaults of this process.
 * The log level is set from them.
 */
final class StoredOperatorSettings {
  private final OperatorSettings defaults;
  private final int maxTasksPerBatch;
  private OperatorSettings current;

  /**
   * Starts with the defaults. The default log level is the environment variable {@code LOG_LEVEL}
   * if it names a known level, otherwise info.
   *
   * @param maxTasksPerBatch the maximum number of tasks in one task batch record
   */
  StoredOperatorSettings(int maxTasksPerBatch) {
    String level = System.getenv("LOG_LEVEL");
    this.defaults = OperatorSettings.defaults(maxTasksPerBatch, Logs.known(level) ? level : "info");
    this.maxTasksPerBatch = maxTasksPerBatch;
    this.current = defaults;
  }

  OperatorSettings defaults() {
    return defaults;
  }

  OperatorSettings current() {
    return current;
  }

  /**
   * Applies the stored record to the defaults, sets the log level if it changed, and returns the
   * resulting settings.
   */
  OperatorSettings reload(JsonNode stored) {
    String previousLevel = current.logLevel();
    current = OperatorSettings.stored(stored, defaults, maxTasksPerBatch);
    if (!current.logLevel().equals(previousLevel)) {
      Logs.level(current.logLevel());
    }
    return current;
  }
}

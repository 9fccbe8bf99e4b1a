package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Logging;
import graderelay.config.OperatorSettings;

/**
 * The operators' settings as stored in the key-value store, over the defaults of this process; the
 * log's level follows them.
 */
final class StoredOperatorSettings {
  private final OperatorSettings defaults;
  private final int mostBatchTasks;
  private OperatorSettings current;

  /**
   * Starts from the defaults; the log's level is {@code LOG_LEVEL} of the environment if it names a
   * known one, else info.
   *
   * @param mostBatchTasks the most tasks in one task batch record
   */
  StoredOperatorSettings(int mostBatchTasks) {
    String level = System.getenv("LOG_LEVEL");
    this.defaults =
        OperatorSettings.defaults(mostBatchTasks, Logging.isKnownLevel(level) ? level : "info");
    this.mostBatchTasks = mostBatchTasks;
    this.current = defaults;
  }

  OperatorSettings defaults() {
    return defaults;
  }

  OperatorSettings current() {
    return current;
  }

  /** Reads the stored record anew, sets the log's level if it changed, and returns the result. */
  OperatorSettings reload(JsonNode stored) {
    String before = current.logLevel();
    current = OperatorSettings.fromStored(stored, defaults, mostBatchTasks);
    if (!current.logLevel().equals(before)) {
      Logging.setLevel(current.logLevel());
    }
    return current;
  }
}

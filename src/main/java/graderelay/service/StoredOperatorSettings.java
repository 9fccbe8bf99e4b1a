package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Logs;
import graderelay.config.OperatorSettings;

/**
 * The operators' settings as stored in the state service, over the defaults of this process; the
 * log's level follows them.
 */
final class StoredOperatorSettings {
  private final OperatorSettings defaults;
  private final int mostSliceTasks;
  private OperatorSettings current;

  /**
   * Starts from the defaults; the log's level is {@code LOG_LEVEL} of the environment if it names a
   * known one, else info.
   *
   * @param mostSliceTasks the most tasks in one slice record
   */
  StoredOperatorSettings(int mostSliceTasks) {
    String level = System.getenv("LOG_LEVEL");
    this.defaults = OperatorSettings.defaults(mostSliceTasks, Logs.known(level) ? level : "info");
    this.mostSliceTasks = mostSliceTasks;
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
    current = OperatorSettings.stored(stored, defaults, mostSliceTasks);
    if (!current.logLevel().equals(before)) {
      Logs.level(current.logLevel());
    }
    return current;
  }
}

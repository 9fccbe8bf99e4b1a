package graderelay.config;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Configures logging to standard error, one line per event, with a level that can be changed at run
 * time.
 */
public final class Logging {
  private static final Map<String, Level> LEVELS =
      Map.of("error", Level.SEVERE, "info", Level.INFO, "debug", Level.FINE);

  /**
   * Set to a higher level, since Netty logs more than operators need. Kept in a field because the
   * log manager holds loggers weakly: the level would be lost when the logger is collected.
   */
  private static final Logger NETTY = Logger.getLogger("io.netty");

  private Logging() {}

  /** Returns true for the name of a level that operators may set. */
  public static boolean isKnownLevel(String level) {
    return level != null && LEVELS.containsKey(level);
  }

  /** Replaces all handlers with one that writes a line per event, and sets the level. */
  public static void configure(String level) {
    Logger root = Logger.getLogger("");
    for (var handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(new LineFormatter());
    console.setLevel(Level.ALL);
    root.addHandler(console);
    NETTY.setLevel(Level.WARNING);
    setLevel(level);
  }

  /** Changes the level; an unknown name means info. */
  public static void setLevel(String level) {
    Logger.getLogger("").setLevel(isKnownLevel(level) ? LEVELS.get(level) : Level.INFO);
  }

  /**
   * Formats an event as the level, the logger's name and the message, followed by the stack trace
   * if there is one.
   */
  private static final class LineFormatter extends Formatter {
    @Override
    public String format(LogRecord event) {
      String line =
          levelName(event.getLevel().intValue())
              + " "
              + event.getLoggerName()
              + " - "
              + formatMessage(event)
              + "\n";
      if (event.getThrown() == null) {
        return line;
      }
      StringWriter trace = new StringWriter();
      event.getThrown().printStackTrace(new PrintWriter(trace));
      return line + trace;
    }

    private static String levelName(int value) {
      if (value >= Level.SEVERE.intValue()) {
        return "ERROR";
      }
      if (value >= Level.WARNING.intValue()) {
        return "WARN";
      }
      return value >= Level.INFO.intValue() ? "INFO" : "DEBUG";
    }
  }
}

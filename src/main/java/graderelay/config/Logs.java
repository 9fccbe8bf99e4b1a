package graderelay.config;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Logs on standard error, one line for each event, with a level that can change while it runs. */
public final class Logs {
  private static final Map<String, Level> LEVELS =
      Map.of("error", Level.SEVERE, "info", Level.INFO, "debug", Level.FINE);

  /** Netty logs more than operators want; held strongly, or its level would be forgotten. */
  private static final Logger NETTY = Logger.getLogger("io.netty");

  private Logs() {}

  /** True for the name of a level that operators may set. */
  public static boolean known(String level) {
    return level != null && LEVELS.containsKey(level);
  }

  /** Replaces all handlers by one that writes a line for each event. */
  public static void start(String level) {
    Logger root = Logger.getLogger("");
    for (var handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    ConsoleHandler console = new ConsoleHandler();
    console.setFormatter(new Line());
    console.setLevel(Level.ALL);
    root.addHandler(console);
    NETTY.setLevel(Level.WARNING);
    level(level);
  }

  /** Changes the level; an unknown one means info. */
  public static void level(String level) {
    Logger.getLogger("").setLevel(known(level) ? LEVELS.get(level) : Level.INFO);
  }

  /** The level, the logger's name, the message and, if there is one, the stack trace. */
  private static final class Line extends Formatter {
    @Override
    public String format(LogRecord event) {
      String line =
          level(event.getLevel().intValue())
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

    private static String level(int value) {
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

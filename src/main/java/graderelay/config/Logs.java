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

  /** Netty tells more than an operator wants; held strongly, or its level would be forgotten. */
  private static final Logger NETTY = Logger.getLogger("io.netty");

  private Logs() {}

  public static boolean known(String level) {
    return level != null && LEVELS.containsKey(level);
  }

  /** Sets up the one handler. */
  public static void start(String level) {
    Logger root = Logger.getLogger("");
    for (var h : root.getHandlers()) {
      root.removeHandler(h);
    }
    ConsoleHandler handler = new ConsoleHandler();
    handler.setFormatter(new Line());
    handler.setLevel(Level.ALL);
    root.addHandler(handler);
    NETTY.setLevel(Level.WARNING);
    level(level);
  }

  /** Changes the level; an unknown one means info. */
  public static void level(String level) {
    Logger.getLogger("").setLevel(known(level) ? LEVELS.get(level) : Level.INFO);
  }

  private static final class Line extends Formatter {
    @Override
    public String format(LogRecord r) {
      int v = r.getLevel().intValue();
      String level =
          v >= Level.SEVERE.intValue()
              ? "ERROR"
              : v >= Level.WARNING.intValue()
                  ? "WARN"
                  : v >= Level.INFO.intValue() ? "INFO" : "DEBUG";
      String line = level + " " + r.getLoggerName() + " - " + formatMessage(r) + "\n";
      if (r.getThrown() == null) {
        return line;
      }
      StringWriter w = new StringWriter();
      r.getThrown().printStackTrace(new PrintWriter(w));
      return line + w;
    }
  }
}

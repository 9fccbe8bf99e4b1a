package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: one line for each event, with the seconds since the beginning. */
final class Record {
  private final PrintWriter out;
  private final long startNs = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double now() {
    return (System.nanoTime() - startNs) / 1e9;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
  }

  void close() {
    out.close();
  }
}

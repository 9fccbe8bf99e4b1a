package graderelay.sim;

import java.util.stream.LongStream;

/** The seeds of tests that play random schedules. */
public final class Seeds {
  private Seeds() {}

  /**
   * Returns the seeds from 1 to {@code count}. The system property {@code seeds} sets another
   * count, and {@code seed} selects a single one.
   */
  public static LongStream upTo(long count) {
    Long one = Long.getLong("seed");
    return one != null
        ? LongStream.of(one)
        : LongStream.rangeClosed(1, Long.getLong("seeds", count));
  }
}

package graderelay.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;

/** Checks that tests of whole simulated controllers share. */
public final class WorldAssertions {
  private WorldAssertions() {}

  /** A world of so many controllers, of which one leads by now. */
  public static SimWorld world(long seed, int size) {
    SimWorld w = SimWorld.of(seed, size);
    w.loop.run(3);
    assertThat(w.leader()).isNotNegative();
    return w;
  }

  /** A world whose zones have these letters for names. */
  public static SimWorld zoned(long seed, int size, String zones) {
    List<String> names = List.of(zones.split("(?<=.)"));
    SimWorld w = new SimWorld(seed, WorldShape.of(size).fleet(8, names));
    w.loop.run(3);
    return w;
  }

  /** No invariant was violated. */
  public static void fine(SimWorld w) {
    assertThat(w.invariants.violations).isEmpty();
  }

  /** The machine that runs a task. */
  public static String runner(SimWorld w, String task) {
    return w.workers.values().stream()
        .filter(x -> x.running().contains(task))
        .findFirst()
        .orElseThrow()
        .name;
  }

  /** Seconds until the next start of a task, or a minute if there is none by then. */
  public static double secondsToNextStart(SimWorld w) {
    int starts = w.invariants.starts;
    double from = w.loop.now();
    while (w.invariants.starts == starts && w.loop.now() < from + 60) {
      w.loop.run(0.1);
    }
    return w.loop.now() - from;
  }
}

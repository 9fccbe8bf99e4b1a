package graderelay.sim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;

/** Checks that tests of whole simulated controllers share. */
public final class WorldAssertions {
  private WorldAssertions() {}

  /** A world of so many controllers, of which one leads by now. */
  public static SimWorld world(long seed, int size) {
    SimWorld world = SimWorld.of(seed, size);
    world.loop.run(3);
    assertThat(world.leader()).isNotNegative();
    return world;
  }

  /** A world whose zones have these letters for names. */
  public static SimWorld zoned(long seed, int size, String zones) {
    List<String> names = List.of(zones.split("(?<=.)"));
    SimWorld world = new SimWorld(seed, WorldShape.of(size).fleet(8, names));
    world.loop.run(3);
    return world;
  }

  /** No invariant was violated. */
  public static void fine(SimWorld world) {
    assertThat(world.invariants.violations).isEmpty();
  }

  /** The machine that runs a task. */
  public static String runner(SimWorld world, String task) {
    return world.workers.values().stream()
        .filter(worker -> worker.running().contains(task))
        .findFirst()
        .orElseThrow()
        .name;
  }

  /** Seconds until the next start of a task, or a minute if there is none by then. */
  public static double secondsToNextStart(SimWorld world) {
    int starts = world.invariants.starts;
    double from = world.loop.now();
    while (world.invariants.starts == starts && world.loop.now() < from + 60) {
      world.loop.run(0.1);
    }
    return world.loop.now() - from;
  }
}

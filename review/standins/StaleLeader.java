import java.util.ArrayList;
import java.util.List;

/**
 * The leader stands still for 50 seconds. Another controller takes over, and all tasks go on under
 * it. Then the old leader goes on.
 */
final class StaleLeader {
  private static final int TASKS = 6;
  private static final double STANDS_STILL_S = 50;
  private static final double OBSERVED_S = 8;

  public static void main(String[] args) throws Exception {
    World.Timing timing = new World.Timing(2, 12, 42, 4);
    World.play(new World(args[0], timing, 3, 3, World.lakeshore(timing)), StaleLeader::play);
  }

  private static List<String> play(World world) throws Exception {
    world.startAll();
    // Three full machines, each with a replica and a task of an array.
    world.submit(0, World.service("j-000001", 3, 2.5), 1e6);
    world.await("all replicas run", 25, () -> world.running("j-000001") == 3);
    world.submit(1, World.array("j-000002", 3, 1.5, 300), 300);
    world.await("all tasks run", 25, () -> world.runningInAll() == TASKS);
    int old = world.leader();
    Net.sleep(3);
    long token = tokens(world).get(0);
    world.write("mill-" + old + " answers the workers, under token " + tokens(world));
    if (World.TROUBLE) {
      world.freeze(old, true);
    }
    double until = Net.now() + STANDS_STILL_S;
    while (Net.now() < until) {
      Net.sleep(0.5);
      if (world.runningInAll() != TASKS) {
        throw new World.CannotRun("a task was lost before the old leader went on");
      }
    }
    List<Long> tokens = tokens(world);
    world.write("all tasks go on; the workers have token " + tokens);
    if (World.TROUBLE && tokens.stream().anyMatch(t -> t <= token)) {
      throw new World.CannotRun("no other controller has taken over");
    }
    final double goesOnAt = world.time();
    if (World.TROUBLE) {
      world.freeze(old, false);
    }
    Net.sleep(OBSERVED_S);
    List<String> breaches = new ArrayList<>();
    for (World.Deletion deletion : world.deletions()) {
      if (World.TROUBLE && deletion.member().equals("mill-" + old)) {
        breaches.add(
            String.format(
                "a stale leader acts: %.2f s after it went on, mill-%d, whose token was %d, has %s"
                    + " deleted, on which %s run under a later token",
                deletion.at() - goesOnAt, old, token, deletion.machine(), deletion.tasks()));
      }
    }
    return breaches;
  }

  private static List<Long> tokens(World world) {
    return world.fleet.workers().stream().map(Fleet.Worker::token).toList();
  }
}

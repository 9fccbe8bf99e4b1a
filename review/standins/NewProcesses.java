import java.util.List;

/**
 * A job is cancelled while the leader has just crashed; the other controllers crash right after the
 * answer and the state service goes out for longer than cancel_s. All controllers come back, and are
 * then restarted one after the other, once.
 */
final class NewProcesses {
  /** Seconds from the crash until the controllers are back. */
  private static final double BACK_S = 6;

  /** Seconds from then until the first is restarted, and from one restart to the next. */
  private static final double ROLL_AFTER_S = 6.6;

  private static final double ROLL_EVERY_S = 8;
  private static final double OUTAGE_S = 50;

  public static void main(String[] args) throws Exception {
    World.Timing timing = new World.Timing(2, 12, 42, 4);
    World.play(new World(args[0], timing, 3, 3, World.lakeshore(timing)), NewProcesses::play);
  }

  private static List<String> play(World world) throws Exception {
    world.startAll();
    world.submit(0, World.array("j-000001", 3, 3.0, 300), 300);
    world.await("all machines work", 25, () -> world.running("j-000001") == 3);
    int leader = world.leader();
    Net.sleep(3);
    int other = (leader + 1) % 3;
    world.write("mill-" + leader + " answers the workers");
    if (World.TROUBLE) {
      world.kill(leader);
      Net.sleep(0.2);
    }
    if (!world.withdraw(other, "j-000001")) {
      throw new World.CannotRun("the cancellation was not confirmed");
    }
    final double toldAt = world.time();
    if (World.TROUBLE) {
      world.store.outage(true);
      world.write("the state service is out");
      world.kill(other);
      world.kill(3 - leader - other);
      Net.sleep(BACK_S);
      for (int i = 0; i < 3; i++) {
        world.start(i);
      }
      Net.sleep(ROLL_AFTER_S);
      for (int i = 0; i < 3; i++) {
        world.kill(i);
        world.start(i);
        Net.sleep(ROLL_EVERY_S);
      }
    }
    Net.sleep(Math.max(0, toldAt + OUTAGE_S - world.time()));
    List<String> breaches = world.ranCancelled("j-000001", toldAt);
    if (World.TROUBLE) {
      world.store.outage(false);
      world.write("the state service is back");
    }
    return breaches;
  }
}

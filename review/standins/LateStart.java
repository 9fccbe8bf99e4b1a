import java.util.List;

/**
 * A start command is on its way to a worker when the link between the leader and the workers is
 * held; its user cancels the job; then the state service is out for longer than cancel_s. The
 * command arrives after that.
 */
final class LateStart {
  private static final double CUT_S = 48;
  private static final double CANCEL_AFTER_S = 1.0;
  private static final double OUTAGE_AFTER_S = 2.0;

  public static void main(String[] args) throws Exception {
    World.Timing timing = new World.Timing(2, 12, 42, 4);
    World.play(new World(args[0], timing, 3, 3, World.lakeshore(timing)), LateStart::play);
  }

  private static List<String> play(World world) throws Exception {
    world.startAll();
    // Three machines, each with a task that goes on, and so with a connection from the leader.
    world.submit(0, World.array("j-000001", 3, 3.0, 300), 300);
    world.await("all machines work", 25, () -> world.running("j-000001") == 3);
    int leader = world.leader();
    int other = (leader + 1) % 3;
    Net.sleep(3);
    if (world.leader() != leader) {
      throw new World.CannotRun("the leader has changed");
    }
    world.write("mill-" + leader + " answers the workers");
    if (World.TROUBLE) {
      hold(world, leader, true);
    }
    final double cutAt = Net.now();
    world.submit(other, World.array("j-000002", 3, 1.0, 300), 300);
    Net.sleep(Math.max(0, cutAt + CANCEL_AFTER_S - Net.now()));
    double toldAt = Double.NaN;
    for (int i = 0; i < 3 && Double.isNaN(toldAt); i++) {
      toldAt = world.withdraw(other, "j-000002") ? world.time() : Double.NaN;
    }
    if (Double.isNaN(toldAt)) {
      throw new World.CannotRun("the cancellation was not confirmed");
    }
    Net.sleep(Math.max(0, cutAt + OUTAGE_AFTER_S - Net.now()));
    if (World.TROUBLE) {
      world.store.outage(true);
      world.write("the state service is out");
    }
    Net.sleep(Math.max(0, cutAt + CUT_S - Net.now()));
    if (World.TROUBLE) {
      hold(world, leader, false);
    }
    Net.sleep(4);
    if (World.TROUBLE) {
      world.store.outage(false);
      world.write("the state service is back");
    }
    Net.sleep(3);
    return world.ranCancelled("j-000002", toldAt);
  }

  /** Holds both directions between a controller and all workers. */
  private static void hold(World world, int controller, boolean on) {
    world.linkTo(controller).hold(on);
    world.fleet.workers().forEach(worker -> worker.link.hold(on));
    world.write((on ? "held: " : "open again: ") + "mill-" + controller + " and all workers");
  }
}

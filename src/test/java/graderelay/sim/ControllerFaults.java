package graderelay.sim;

/** Injects the faults that befall controllers: restarts, absences and changes of leader. */
final class ControllerFaults {
  private final SimWorld world;

  ControllerFaults(SimWorld world) {
    this.world = world;
  }

  /** Ends a controller that is up; it is back after so many seconds. */
  void restart(int controller, double after) {
    if (world.isUp(controller)) {
      world.crash(controller);
      world.loop.after(after, () -> world.start(controller));
    }
  }

  /** Ends all controllers; they are back one after the other. */
  void restartAll(double after) {
    for (int i = 0; i < world.size; i++) {
      restart(i, after * (1 + i * 0.1));
    }
  }

  /** The leader ends, and so does another just when it may be winning the next term. */
  void restartAmidElection(Fault f, int leader) {
    restart(leader, 0.2);
    double lease = world.settings(0).sessionLeaseS();
    int next = (leader + 1) % world.size;
    world.loop.after(lease + f.pick() % 10 * 0.02, () -> restart(next, 0.1));
  }

  /** The leader ends, five times in a row. */
  void changeLeaders(Fault f) {
    for (int i = 0; i < 5; i++) {
      world.loop.after(
          i * (1 + f.pick() % 9),
          () -> {
            if (world.leader() >= 0) {
              restart(world.leader(), 0.2 + f.pick() % 7);
            }
          });
    }
  }

  /** Somebody is away for long, and the store meanwhile, for all or but for one. */
  void awayInOutage(Fault f, int controller, int leader) {
    restart(f.pick() % 3 == 0 ? leader : controller, 8 + f.length());
    world.loop.after(
        5 + f.pick() % 7,
        () -> {
          boolean all = f.pick() % 2 == 0;
          for (int i = 0; i < world.size; i++) {
            world.refused[i][0] |= all || i != f.pick() % world.size;
          }
        });
    world.loop.after(
        20 + f.pick() % 20,
        () -> {
          for (int i = 0; i < world.size; i++) {
            world.refused[i][0] = false;
          }
        });
  }
}

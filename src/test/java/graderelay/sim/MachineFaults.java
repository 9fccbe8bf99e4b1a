package graderelay.sim;

import java.util.ArrayList;
import java.util.List;

/** Injects the faults that befall machines and their workers. */
final class MachineFaults {
  private final SimWorld world;

  MachineFaults(SimWorld world) {
    this.world = world;
  }

  /** Lets a fault of machines come; {@code leader} is the controller that leads. */
  void apply(Fault f, int leader) {
    List<SimWorker> workers = new ArrayList<>(world.workers.values());
    if (workers.isEmpty()) {
      return;
    }
    SimWorker worker = workers.get(f.pick() % workers.size());
    switch (f.kind()) {
      case MACHINE_CUT_OFF -> {
        for (int i = 0; i < world.size; i++) {
          world.net.cutFor("c" + i, worker.name, f.length());
        }
      }
      case MACHINE_CUT_OFF_FROM_LEADER -> world.net.cutFor("c" + leader, worker.name, f.length());
      case MACHINE_TAKEN -> world.cloud.take(worker.name);
      case MACHINE_DEAF -> {
        world.net.deaf(worker.name, true);
        world.loop.after(f.length(), () -> world.net.deaf(worker.name, false));
      }
      case MACHINES_MUTE -> {
        for (SimWorker some : some(workers, f.pick())) {
          world.net.mute(some.name, true);
          world.loop.after(f.length(), () -> world.net.mute(some.name, false));
        }
      }
      case MACHINES_HANG -> some(workers, f.pick()).forEach(some -> some.hang(f.length()));
      default -> {
        worker.failsEverything = true;
        world.loop.after(f.length(), () -> worker.failsEverything = false);
      }
    }
  }

  /** Up to three machines. */
  private static List<SimWorker> some(List<SimWorker> workers, int pick) {
    List<SimWorker> some = new ArrayList<>();
    for (int i = 0; i < Math.min(3, workers.size()); i++) {
      some.add(workers.get((pick + i) % workers.size()));
    }
    return some;
  }
}

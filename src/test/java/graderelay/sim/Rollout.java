package graderelay.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Replaces the controllers of the version in production by the present one, one or two at a time in
 * random order. A controller that ends before its turn comes back old.
 */
public final class Rollout {
  private final SimWorld world;
  private final SplittableRandom random;
  private final List<Integer> old = new ArrayList<>();
  private Runnable whenAllAreNew = () -> {};

  Rollout(SimWorld world, SplittableRandom random) {
    this.world = world;
    this.random = random;
    List<Integer> all = new ArrayList<>();
    for (int i = 0; i < world.size; i++) {
      all.add(i);
    }
    while (!all.isEmpty()) {
      old.add(all.remove(random.nextInt(all.size())));
    }
  }

  /** True once no controller of the version in production is left, nor will come back. */
  public boolean allAreNew() {
    return old.isEmpty();
  }

  /** What the users' page says may happen from then on, on many days within the first second. */
  void onceAllAreNew(Runnable then) {
    whenAllAreNew =
        () -> world.loop.after(random.nextDouble() * (random.nextBoolean() ? 1 : 40), then);
  }

  /** Begins within the first minute. */
  void begin() {
    world.loop.after(12 + random.nextDouble() * 25, this::replaceSome);
  }

  private void replaceSome() {
    int some = Math.min(old.size(), 1 + random.nextInt(2));
    for (int i = 0; i < some; i++) {
      replace(old.remove(old.size() - 1));
    }
    if (old.isEmpty()) {
      whenAllAreNew.run();
    } else {
      world.loop.after(2 + random.nextDouble() * 14, this::replaceSome);
    }
  }

  private void replace(int controller) {
    world.invariants.log("new version for m-" + controller);
    world.replace(controller);
    if (world.isUp(controller)) {
      world.crash(controller);
      world.loop.after(0.2 + random.nextDouble() * 8, () -> world.start(controller));
    }
  }
}

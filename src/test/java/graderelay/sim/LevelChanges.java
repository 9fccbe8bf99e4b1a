package graderelay.sim;

import graderelay.config.Options;
import graderelay.features.FeatureRange;
import graderelay.features.UpgradePolicy;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import java.util.SplittableRandom;

/**
 * What operators do with feature levels on a random day: controllers are upgraded, rolled back and
 * suspended in random order, and the level is finalized, held and lowered. At the end of the day
 * all are of the latest version.
 */
final class LevelChanges {
  private static final int LATEST = 3;
  private static final double SOAK_S = 8;

  /** Seconds after which a silent process is taken for ended: its session lease is over by then. */
  private static final double TAKEN_FOR_ENDED_S = 6;

  private final SimWorld world;
  private final SplittableRandom random;
  private final double untilS;
  private final boolean fromProduction;
  private final boolean automatic;

  LevelChanges(SimWorld world, long seed, double daySeconds) {
    this.world = world;
    this.random = new SplittableRandom(seed * 13 + 5);
    this.untilS = world.loop.now() + daySeconds;
    this.fromProduction = world.isProduction(0);
    this.automatic = random.nextInt(3) > 0;
  }

  private Options options(int max) {
    return new Options(new UpgradePolicy(automatic, SOAK_S), new FeatureRange(0, max));
  }

  void begin() {
    int first = random.nextInt(world.size);
    if (fromProduction) {
      world.loop.after(6, () -> upgradeAllButOneThatGoesBack(first));
      world.loop.after(50 + random.nextDouble() * 10, this::next);
    } else {
      for (int i = 0; i < world.size; i++) {
        world.replace(i, options(i == first ? random.nextInt(LATEST) : random.nextInt(LATEST + 1)));
        restart(i, 0.1);
      }
      world.loop.after(12 + random.nextDouble() * 8, () -> replaceSuspended(first));
      world.loop.after(60 + random.nextDouble() * 10, this::next);
    }
  }

  /** What one controller's newer process has published stays behind when it goes back. */
  private void upgradeAllButOneThatGoesBack(int one) {
    world.replace(one, options(LATEST));
    restart(one, 0.5);
    world.loop.after(
        10,
        () -> {
          world.rollBack(one);
          restart(one, 0.5);
        });
    for (int i = 0; i < world.size; i++) {
      int other = i;
      if (other != one) {
        world.loop.after(
            12 + 3 * other,
            () -> {
              world.replace(other, options(LATEST));
              restart(other, 0.5);
            });
      }
    }
  }

  private void next() {
    if (world.loop.now() > untilS) {
      finish();
      return;
    }
    int controller = random.nextInt(world.size);
    switch (random.nextInt(9)) {
      case 0, 1, 2, 3 -> upgrade(controller);
      case 4 -> rollBack(controller);
      case 5 -> suspend(controller);
      case 6 -> replaceSuspended(controller);
      case 7 -> operator("finalize", 1 + random.nextInt(LATEST));
      default -> {
        switch (random.nextInt(3)) {
          case 0 -> operator("downgrade", random.nextInt(LATEST));
          case 1 -> operator("hold", 0);
          default -> operator("release", 0);
        }
      }
    }
    world.loop.after(1 + random.nextDouble() * 12, this::next);
  }

  private void restart(int controller, double s) {
    if (world.isUp(controller)) {
      world.crash(controller);
      world.loop.after(s, () -> world.start(controller));
    }
  }

  private void upgrade(int controller) {
    world.invariants.log("upgrade of m-" + controller);
    world.replace(controller, options(LATEST - random.nextInt(2) * random.nextInt(2)));
    restart(controller, 0.2 + random.nextDouble() * 5);
  }

  /** Also below the level, as an operator may by mistake: it must refuse to serve then. */
  private void rollBack(int controller) {
    world.invariants.log("rollback of m-" + controller);
    if (fromProduction && random.nextBoolean()) {
      world.rollBack(controller);
    } else {
      world.replace(controller, options(random.nextInt(LATEST)));
    }
    restart(controller, 0.2 + random.nextDouble() * 5);
  }

  private void suspend(int controller) {
    world.suspend(controller);
    world.loop.after(1 + random.nextDouble() * 20, () -> world.resume(controller));
  }

  /**
   * Another process is started in the place of one that only stands still, and the upgrade of all
   * is completed meanwhile. What users send to the one that stands still waits for it.
   */
  private void replaceSuspended(int controller) {
    if (!world.isUp(controller) || world.hasLost(controller) || world.isProduction(controller)) {
      return;
    }
    world.suspend(controller);
    world.loseTrackOf(controller);
    for (int i = 0; i < 3; i++) {
      SimJob job = world.users.job(String.format("j-08%02d%02d", controller, i), 1, 1, 2, true);
      world.users.resubmit(controller, job);
    }
    for (int i = 0; i < world.size; i++) {
      if (i != controller) {
        world.replace(i, options(LATEST));
        restart(i, 1);
      }
    }
    world.loop.after(
        TAKEN_FOR_ENDED_S + random.nextDouble() * 4,
        () -> {
          world.replace(controller, options(LATEST));
          world.start(controller);
        });
    world.loop.after(14 + random.nextDouble() * 40, () -> world.resumeLost(controller));
  }

  private void operator(String what, int level) {
    int controller = random.nextInt(world.size);
    byte[] body = Json.write(Json.object().put("level", level));
    world.users.ask(
        controller,
        "POST",
        "/admin/features/" + what,
        body,
        (r, n) -> world.invariants.log(what + " " + level + ": " + r.status() + " " + n));
  }

  private void finish() {
    for (int i = 0; i < world.size; i++) {
      int controller = i;
      world.loop.after(
          4 * i,
          () -> {
            world.invariants.log("latest version for m-" + controller);
            world.replace(controller, options(LATEST));
            if (world.isUp(controller)) {
              world.crash(controller);
            }
            world.loop.after(1, () -> world.start(controller));
          });
    }
  }

  /** True if the level that is stored is one that all support now. */
  boolean levelIsSupported() {
    var record = world.store.value(FeatureCodec.LEVEL);
    return record == null || record.path("level").asInt() <= LATEST;
  }
}

package graderelay.worker;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.Seeds;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Searches random schedules around a launch that is held in the network for longer than {@code
 * cancel_s}, for one in which a task of the cancelled job starts too late: outages, refusals, cuts
 * between controllers and of zones, restarts, suspensions, and machines that hang or are deaf.
 */
class LateLaunchSearchTest {
  /** The number of schedules; the property {@code seeds} sets another one. */
  private static final long SEEDS = 400;

  /** Seconds after the launch in which the faults begin. */
  private static final double FAULTS_BEGIN_WITHIN_S = 25;

  private static final double RECOVERY_S = 60;

  /** The share of requests of which late copies arrive, in every second schedule. */
  private static final double COPIED_SHARE = 0.3;

  private static final double LONGEST_COPY_DELAY_S = 120;

  /** The property {@code seed} plays one schedule, {@code seeds} says how many. */
  static LongStream seeds() {
    return Seeds.upTo(SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noTaskOfCancelledJobStartsLateWhateverElseFails(long seed) {
    Schedule schedule = new Schedule(seed);
    schedule.play();
    assertThat(schedule.world.invariants.violations)
        .as("seed %s, %s, %s", seed, schedule.steps, schedule.world.invariants.trace())
        .isEmpty();
  }

  private static final class Schedule {
    final SplittableRandom random;
    final HeldLaunch launch;
    final SimWorld world;
    final List<String> steps = new ArrayList<>();

    /** Faults that are over at the end of the schedule at the latest. */
    private final List<Runnable> repairs = new ArrayList<>();

    Schedule(long seed) {
      random = new SplittableRandom(seed);
      boolean zones = random.nextBoolean();
      boolean longLease = random.nextInt(3) == 0;
      WorldShape shape =
          WorldShape.of(random.nextBoolean() ? 3 : 5)
              .fleet(8, zones ? List.of("a", "b") : List.of("a"))
              .workers(longLease ? 4 : 2, longLease ? 20 : 12);
      world = new SimWorld(seed, shape);
      if (seed % 2 == 0) {
        world.net.requestCopies.draw(COPIED_SHARE, LONGEST_COPY_DELAY_S);
      }
      world.loop.run(3);
      launch = new HeldLaunch(world);
    }

    void play() {
      double cancelAfterS = random.nextDouble() * 6;
      int canceller = random.nextInt(world.size);
      at("cancel at m-" + canceller, cancelAfterS, () -> world.users.cancel(canceller, launch.job));
      double outageAfterS = cancelAfterS + random.nextDouble() * 8;
      boolean outage = random.nextInt(4) > 0;
      if (outage) {
        fault("outage", outageAfterS, 60, on -> world.store.outage(on));
      }
      for (int i = random.nextInt(5); i > 0; i--) {
        addFault();
      }
      world.loop.run(FAULTS_BEGIN_WITHIN_S);
      if (Double.isNaN(launch.job.cancelAnswered)) {
        finish(); // The store was gone before the cancellation was recorded.
        return;
      }
      launch.deliverAfterCancellation(SimWorld.CANCEL_S + 0.2 + random.nextDouble() * 15);
      finish();
    }

    private void finish() {
      repairs.forEach(Runnable::run);
      world.net.heal("c" + launch.leader, launch.machine);
      world.loop.run(RECOVERY_S);
    }

    private void addFault() {
      double atS = random.nextDouble() * FAULTS_BEGIN_WITHIN_S;
      double lengthS = 0.3 + random.nextDouble() * (random.nextBoolean() ? 6 : 40);
      int member = random.nextBoolean() ? launch.leader : random.nextInt(world.size);
      int peer = (member + 1 + random.nextInt(world.size - 1)) % world.size;
      switch (random.nextInt(8)) {
        case 0 -> fault("refuse m-" + member, atS, lengthS, on -> world.refused[member][0] = on);
        case 1 ->
            fault("cut m-" + member + " from m-" + peer, atS, lengthS, on -> cut(on, member, peer));
        case 2 -> fault("isolate m-" + member, atS, lengthS, on -> world.isolate(member, on));
        case 3 -> fault("cut zone a", atS, lengthS, on -> world.net.cutZone("a", on));
        case 4 -> fault("suspend m-" + member, atS, lengthS, on -> suspend(on, member));
        case 5 -> fault("deaf", atS, lengthS, on -> world.net.deaf(launch.machine, on));
        case 6 -> at("hang", atS, () -> hang(Math.min(lengthS, 10)));
        default -> restart(member, atS, lengthS);
      }
    }

    private interface Switch {
      void set(boolean on);
    }

    private void fault(String name, double atS, double lengthS, Switch change) {
      boolean[] over = {false};
      Runnable repair =
          () -> {
            if (!over[0]) {
              over[0] = true;
              change.set(false);
            }
          };
      at(
          name + " for " + lengthS,
          atS,
          () -> {
            change.set(true);
            repairs.add(repair);
            world.loop.after(lengthS, repair);
          });
    }

    private void at(String name, double atS, Runnable step) {
      steps.add(String.format("%s at %.2f", name, atS));
      world.loop.after(atS, step);
    }

    private void cut(boolean on, int member, int peer) {
      if (on) {
        world.net.cut("c" + member, "c" + peer);
      } else {
        world.net.heal("c" + member, "c" + peer);
      }
    }

    private void suspend(boolean on, int member) {
      if (on) {
        world.suspend(member);
      } else {
        world.resume(member);
      }
    }

    private void hang(double seconds) {
      if (world.workers.containsKey(launch.machine)) {
        world.workers.get(launch.machine).hang(seconds);
      }
    }

    private void restart(int member, double atS, double downS) {
      fault(
          "restart m-" + member,
          atS,
          Math.min(downS, 12),
          down -> {
            if (down && world.isUp(member)) {
              world.crash(member);
            } else if (!down && !world.isUp(member)) {
              world.start(member);
            }
          });
    }
  }
}

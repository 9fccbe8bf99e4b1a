package graderelay.worker;

import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import org.HdrHistogram.Histogram;

/**
 * Measures what reaping costs in the simulated world: the length of heartbeats, the exited attempts
 * in them, and the terms that workers have seen, while many short tasks end. Not a test; run by
 * {@code tools/measure-heartbeats.sh}.
 */
public final class HeartbeatMeasurement {
  private static final double CPUS_OF_A_MACHINE = 4;
  private static final double WARM_UP_S = 30;
  private static final double MEASURED_S = 60;
  private static final double TASK_RUN_S = 2;
  private static final int TASKS_OF_A_JOB = 400;

  /** Jobs that are submitted each second. */
  private static final int JOBS_PER_S = 1;

  private static final int LONGEST_HEARTBEAT_BYTES = 64 * 1024;
  private static final int MOST_ATTEMPTS = 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private HeartbeatMeasurement() {}

  /** Measures fleets of 100 and of 4,000 machines. */
  public static void main(String[] arguments) {
    System.out.println(
        "machines | heartbeats | bytes p50 | bytes max | exited p50 | exited p99 | exited max"
            + " | terms seen | tasks started | processor s of the whole world");
    for (int machines : new int[] {100, 4000}) {
      measure(machines);
    }
  }

  private static void measure(int machines) {
    SimWorld world =
        new SimWorld(
            1, new WorldShape(5, 4, 22, List.of("a", "b"), machines, CPUS_OF_A_MACHINE * machines));
    world.loop.run(4);
    keepMachinesBusy(world, machines);
    world.loop.run(WARM_UP_S);
    submitShortTasks(world, 0);
    Histogram bytes = new Histogram(LONGEST_HEARTBEAT_BYTES, SIGNIFICANT_DIGITS);
    Histogram exited = new Histogram(MOST_ATTEMPTS, SIGNIFICANT_DIGITS);
    Set<Long> terms = new TreeSet<>();
    world.onHeartbeat =
        (length, exitedAttempts, term) -> {
          bytes.recordValue(length);
          exited.recordValue(exitedAttempts);
          terms.add(term);
        };
    int startsBefore = world.invariants.starts;
    long cpuBefore = processorNanos();
    world.loop.run(MEASURED_S);
    System.out.printf(
        Locale.ROOT,
        "%d | %d | %d | %d | %d | %d | %d | %d | %d | %.1f%n",
        machines,
        bytes.getTotalCount(),
        bytes.getValueAtPercentile(50),
        bytes.getMaxValue(),
        exited.getValueAtPercentile(50),
        exited.getValueAtPercentile(99),
        exited.getMaxValue(),
        terms.size(),
        world.invariants.starts - startsBefore,
        (processorNanos() - cpuBefore) / NANOS_PER_SECOND);
  }

  /** Each machine gets a task that takes a quarter of it, and stays. */
  private static void keepMachinesBusy(SimWorld world, int machines) {
    for (int i = 0; i < machines * CPUS_OF_A_MACHINE / TASKS_OF_A_JOB; i++) {
      int tasks = (int) (TASKS_OF_A_JOB / CPUS_OF_A_MACHINE);
      world.users.submit(
          i % world.size, world.users.job(String.format("j-1%05d", i), tasks, 3, 0, false));
    }
  }

  private static void submitShortTasks(SimWorld world, int number) {
    for (int i = 0; i < JOBS_PER_S; i++) {
      String id = String.format("j-2%05d", number * JOBS_PER_S + i);
      world.users.submit(
          number % world.size, world.users.job(id, TASKS_OF_A_JOB, 1, TASK_RUN_S, true));
    }
    world.loop.after(1, () -> submitShortTasks(world, number + 1));
  }

  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}

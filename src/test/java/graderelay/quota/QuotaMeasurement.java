package graderelay.quota;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of stored limits in the simulated world: the same bursts with the feature
 * enabled and disabled. Not a test; run by {@code tools/measure-quota.sh}.
 */
public final class QuotaMeasurement {
  private static final int[] SEEDS = {1, 2, 3};
  private static final double TASK_RUN_S = 3;
  private static final double MAX_BURST_S = 600;

  /** Seconds after the last start until the ends of all tasks have been stored. */
  private static final double SETTLE_S = 30;

  /** Additional delay of each store response in seconds, which makes it some 15 times as long. */
  private static final double EXTRA_STORE_DELAY_S = 0.15;

  private static final long MAX_RECORDED_WAIT_MS = 3_600_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  /** A burst of {@code jobs} single-task jobs within {@code burstS} seconds. */
  private record Setup(
      String name,
      int machines,
      double requestsPerS,
      double changesPerS,
      double extraStoreDelayS,
      int jobs,
      double burstS) {}

  /** The result of one burst; {@code startS} is the time until the last start. */
  private record Result(
      Histogram waitsMs, double changesToStart, double startS, double changes, double cpuS) {}

  private QuotaMeasurement() {}

  /** Measures all setups, or the first ones up to the number in the argument. */
  public static void main(String[] arguments) {
    List<Setup> setups =
        List.of(
            new Setup("150 machines, 25 changes/s", 150, 100, 25, 0, 200, 60),
            new Setup(
                "150 machines, 25 changes/s, slow", 150, 100, 25, EXTRA_STORE_DELAY_S, 200, 60),
            new Setup("150 machines, 300 changes/s", 150, 1000, 300, 0, 1000, 20),
            new Setup(
                "150 machines, 300 changes/s, slow", 150, 1000, 300, EXTRA_STORE_DELAY_S, 1000, 20),
            new Setup("4,000 machines, 50 changes/s", 4000, 200, 50, 0, 300, 50));
    int setupCount = arguments.length > 0 ? Integer.parseInt(arguments[0]) : setups.size();
    System.out.println(
        "setup | limits | start p50 ms | p99 ms | claims/s | changes/s | changes/job"
            + " | processor s of the whole world");
    for (Setup setup : setups.subList(0, Math.min(setupCount, setups.size()))) {
      for (boolean withStoredLimits : new boolean[] {false, true}) {
        measureAndPrint(setup, withStoredLimits);
      }
    }
  }

  private static void measureAndPrint(Setup setup, boolean withStoredLimits) {
    Histogram waits = new Histogram(MAX_RECORDED_WAIT_MS, SIGNIFICANT_DIGITS);
    double changesToStart = 0;
    double startS = 0;
    double changes = 0;
    double cpuS = 0;
    for (int seed : SEEDS) {
      Result result = runBurst(setup, withStoredLimits, seed);
      waits.add(result.waitsMs());
      changesToStart += result.changesToStart();
      startS += result.startS();
      changes += result.changes();
      cpuS += result.cpuS();
    }
    int jobs = SEEDS.length * setup.jobs();
    System.out.printf(
        Locale.ROOT,
        "%s | %s | %d | %d | %.1f | %.1f | %.2f | %.1f%n",
        setup.name(),
        withStoredLimits ? "stored" : "off",
        waits.getValueAtPercentile(50),
        waits.getValueAtPercentile(99),
        jobs / startS,
        changesToStart / startS,
        changes / jobs,
        cpuS / SEEDS.length);
  }

  private static Result runBurst(Setup setup, boolean withStoredLimits, int seed) {
    WorldShape shape =
        new WorldShape(3, 4, 22, List.of("a", "b"), setup.machines(), 3.0 * setup.machines());
    SimWorld world = new SimWorld(seed, shape);
    world.requestsPerS = setup.requestsPerS();
    world.changesPerS = setup.changesPerS();
    if (withStoredLimits) {
      QuotaSteps.worldWithStoredLimits(world);
    } else {
      QuotaSteps.worldWithoutStoredLimits(world);
    }
    fillFleet(world, setup.machines());
    world.store.slowS = setup.extraStoreDelayS();
    final long cpu = threadCpuNanos();
    final long changes = world.store.changesMade;
    final double from = world.loop.now();
    double everyS = setup.burstS() / setup.jobs();
    List<SimJob> jobs =
        QuotaSteps.submitBurst(world, "team", "60", setup.jobs(), everyS, 1, TASK_RUN_S);
    while (world.loop.now() < from + MAX_BURST_S
        && jobs.stream().anyMatch(job -> !hasStarted(job))) {
      world.loop.run(0.5);
    }
    final double startS = world.loop.now() - from;
    final long changesToStart = world.store.changesMade - changes;
    world.loop.run(SETTLE_S);
    Histogram waits = new Histogram(MAX_RECORDED_WAIT_MS, SIGNIFICANT_DIGITS);
    for (int i = 0; i < jobs.size(); i++) {
      SimJob job = jobs.get(i);
      double waited = (hasStarted(job) ? job.firstStart : from + MAX_BURST_S) - from - i * everyS;
      waits.recordValue((long) Math.max(0, waited * 1000));
    }
    return new Result(
        waits,
        changesToStart,
        startS,
        world.store.changesMade - changes,
        (threadCpuNanos() - cpu) / 1e9);
  }

  private static boolean hasStarted(SimJob job) {
    return !Double.isNaN(job.firstStart);
  }

  /** Fills machines that have the image with guest tasks, which the team's tasks preempt. */
  private static void fillFleet(SimWorld world, int machines) {
    SimJob guests = world.users.job("j-610000", machines, 3, 10_000, true);
    guests.guest = true;
    world.users.submit(0, guests);
    for (int i = 0; i < 300 && world.invariants.running("guest") < 3 * machines; i++) {
      world.loop.run(1);
    }
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }
}

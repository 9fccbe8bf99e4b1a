package review2;

/** The cloud is out until an array can't meet its deadline; it has no spot machines to give. */
final class LateJob {
  private static final double OUT_S = 24;
  private static final double WAIT_S = 90;

  private LateJob() {}

  public static void main(String[] args) {
    Bench.main(args, LateJob::run);
  }

  private static int run(Bench bench) throws Exception {
    bench.open(0, 8, 3);
    bench.cloud.spotCapacity = 0;
    bench.startAll();
    if (!bench.awaitReady(4)) {
      bench.record.line("the controllers are not ready");
      return 2;
    }
    bench.cloud.setOutage(Bench.trouble());
    Bench.Job array = new Bench.Job(Bench.ref(1), false, 4, 8, 5);
    array.borrowed = true;
    array.shipS = 25.0; // As in the site file: three times the estimate and 10 s.
    if (bench.submit(0, array).status() != 201) {
      return 2;
    }
    Bench.sleep(OUT_S);
    bench.cloud.setOutage(false);
    double until = bench.record.now() + WAIT_S;
    while (bench.record.now() < until && bench.checker.doneOf(array.ref) < 4) {
      Bench.sleep(3);
      bench.poll(2, array.ref);
    }
    if (bench.checker.starts() > 0) {
      return bench.checker.doneOf(array.ref) == 4 ? 0 : 2;
    }
    bench.record.line("BROKEN nothing_ran: no task was started, " + WAIT_S + " s after the cloud was up again");
    return 1;
  }
}

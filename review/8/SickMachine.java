package review2;

/** One of three machines fails one task; the other two are full of services. */
final class SickMachine {
  private static final double WAIT_S = 92;

  private SickMachine() {}

  public static void main(String[] args) {
    Bench.main(args, SickMachine::run);
  }

  private static int run(Bench bench) throws Exception {
    bench.open(3, 3, 2);
    bench.startAll();
    if (!bench.awaitReady(12)) {
      bench.record.line("the controllers are not ready");
      return 2;
    }
    Bench.Job large = new Bench.Job(Bench.ref(1), true, 4, 8, 0);
    large.urgency = "prod";
    bench.submit(0, large);
    if (!bench.await(10, () -> bench.checker.starts() == 4)) {
      return 2;
    }
    Bench.Job small = new Bench.Job(Bench.ref(2), true, 1, 2, 0);
    small.urgency = "prod";
    bench.submit(0, small);
    if (!bench.await(10, () -> bench.checker.starts() == 5)) {
      return 2;
    }
    Worker sick = null;
    for (Worker worker : bench.cloud.machines()) {
      sick = worker.load() <= 2 ? worker : sick;
    }
    if (sick == null) {
      bench.record.line("the services did not leave room on one machine");
      return 2;
    }
    sick.setSick(Bench.trouble());
    Bench.Job array = new Bench.Job(Bench.ref(3), false, 1, 8, 5);
    if (bench.submit(1, array).status() != 201
        || !bench.await(10, () -> bench.checker.hasStarted(array.ref))) {
      return 2;
    }
    Bench.sleep(1);
    sick.setSick(false);
    double until = bench.record.now() + WAIT_S;
    while (bench.record.now() < until && bench.checker.doneOf(array.ref) == 0) {
      Bench.sleep(3);
      bench.poll(2, array.ref);
    }
    if (bench.checker.doneOf(array.ref) == 1) {
      return 0;
    }
    bench.record.line(
        "BROKEN left_waiting: for " + WAIT_S + " s " + array.ref + " waited, and " + sick.name
            + " had room for it (" + sick.load() + " of " + bench.rigCpus + " CPUs taken)");
    return 1;
  }
}

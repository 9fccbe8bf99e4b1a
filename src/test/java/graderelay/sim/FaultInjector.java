package graderelay.sim;

import java.util.List;

/** Injects the faults of a random day into a simulated world. */
public final class FaultInjector {
  private static final double LONGEST_OUTAGE_S = 25;

  /** Tries, a tenth of a second apart, to find another leader. */
  private static final int DELIVERY_TRIES = 40;

  private final SimWorld world;
  private final ControllerFaults controllers;
  private final MachineFaults machines;

  /** Creates an injector of faults into this world. */
  public FaultInjector(SimWorld world) {
    this.world = world;
    controllers = new ControllerFaults(world);
    machines = new MachineFaults(world);
  }

  /** Lets every fault come at its time. */
  public void schedule(List<Fault> faults) {
    for (Fault f : faults) {
      world.loop.after(f.at(), () -> apply(f));
    }
  }

  private void apply(Fault f) {
    int controller = f.pick() % world.size;
    int leader = world.leader() < 0 ? controller : world.leader();
    world.invariants.log("fault " + f);
    switch (f.kind()) {
      case CONTROLLER_CRASH -> controllers.restart(controller, f.length());
      case CONTROLLER_RESTART_AT_ONCE -> controllers.restart(controller, 0.2);
      case LEADER_CRASH -> controllers.restart(leader, f.length());
      case ALL_CONTROLLERS_CRASH -> controllers.restartAll(f.length());
      case CONTROLLER_AWAY ->
          controllers.restart(f.pick() % 2 == 0 ? leader : controller, 20 + f.length());
      case CONTROLLER_AWAY_IN_OUTAGE -> controllers.awayInOutage(f, controller, leader);
      case RESTART_AMID_ELECTION -> controllers.restartAmidElection(f, leader);
      case LEADERS_CHANGE -> controllers.changeLeaders(f);
      case CONTROLLER_CUT_OFF_FROM_STATE ->
          world.net.cutFor("c" + (f.pick() % 2 == 0 ? leader : controller), "state", f.length());
      case CONTROLLERS_CUT_OFF_FROM_EACH_OTHER -> {
        world.net.cutFor("c0", "c1", f.length());
        world.net.cutFor("c1", "c2", f.length());
      }
      case CONTROLLER_ISOLATED -> isolate(controller, f.length());
      case LEADER_ISOLATED -> isolate(leader, f.length());
      case ZONE_CUT_OFF -> cutZone(f);
      case STATE_OUTAGE -> outage(Math.min(LONGEST_OUTAGE_S, f.length()));
      case STATE_REFUSES_ONE -> refuse(controller, f.length());
      case STATE_REFUSES_LEADER -> refuse(leader, f.length());
      case STATE_SLOW -> {
        world.store.slowS = 0.1 + f.pick() % 20 * 0.1;
        world.loop.after(f.length(), () -> world.store.slowS = 0);
      }
      case TRANSACTIONS_LATE -> delayTransactions(3, f.length(), true);
      case MANY_TRANSACTIONS_LATE ->
          delayTransactions(12, Math.min(6, f.length()), f.pick() % 2 == 0);
      case SOME_TRANSACTIONS_LATE -> delaySomeTransactions(f.length());
      case TRANSACTION_ANSWERS_LOST -> {
        world.store.loseAnswer = t -> world.random.nextInt(3) == 0;
        world.loop.after(f.length(), () -> world.store.loseAnswer = t -> false);
      }
      case ANSWERS_LOST -> {
        world.net.loseAnswers = 0.2;
        world.loop.after(f.length(), () -> world.net.loseAnswers = 0);
      }
      case HEARTBEATS_COPIED -> {
        world.net.copies = 0.5;
        world.net.copyDelayS = 0.5 + f.pick() % 40;
        world.loop.after(f.length(), () -> world.net.copies = 0);
      }
      case HEARTBEATS_KEPT_FOR_NEXT_LEADER -> {
        world.net.keepHeartbeats();
        world.loop.after(f.length(), () -> deliverToNext(leader, DELIVERY_TRIES));
      }
      case SLOW_BOOTS -> boots(2 + f.pick() % 19, 0, f.length());
      case INSTANT_BOOTS -> boots(0.002, 0, f.length());
      case FAILED_BOOTS -> boots(1, 0.3 + f.pick() % 70 / 100.0, f.length());
      case POLL_STORM -> pollStorm(world.loop.now() + f.length());
      case CANCELLED_BETWEEN_REFUSAL_AND_OUTAGE -> cancelBetweenRefusalAndOutage(f, leader);
      case JOBS_CANCELLED -> {
        if (f.pick() % 2 == 0) {
          world.workers.values().forEach(worker -> worker.hang(f.length()));
        }
        cancelNow(1 + f.pick() % 5);
      }
      case JOBS_CANCELLED_AS_THEY_END -> {
        world.invariants.onComplete =
            job -> world.users.cancel(world.random.nextInt(world.size), job);
        world.loop.after(f.length(), () -> world.invariants.onComplete = job -> {});
      }
      case CLOSE_LOOKS -> {
        world.users.lookClosely();
        world.loop.after(f.length(), () -> world.invariants.onTold = job -> {});
      }
      case MACHINE_CUT_OFF,
              MACHINE_CUT_OFF_FROM_LEADER,
              MACHINE_TAKEN,
              MACHINE_FAILS_TASKS,
              MACHINE_DEAF,
              MACHINES_MUTE,
              MACHINES_HANG ->
          machines.apply(f, leader);
      default -> throw new AssertionError(f);
    }
  }

  // ---------------------------------------------------------------- network

  private void isolate(int controller, double length) {
    world.isolate(controller, true);
    world.loop.after(length, () -> world.isolate(controller, false));
  }

  private void cutZone(Fault f) {
    String zone = world.shape.zones().get(f.pick() % world.shape.zones().size());
    world.net.cutZone(zone, true);
    world.loop.after(f.length() * 1.6, () -> world.net.cutZone(zone, false));
  }

  /** Copies of heartbeats that were kept come to all controllers once another leads. */
  private void deliverToNext(int before, int tries) {
    if (world.leader() >= 0 && (world.leader() != before || tries == 0)) {
      String[] all = new String[world.size];
      for (int i = 0; i < world.size; i++) {
        all[i] = "c" + i + ":80";
      }
      world.net.deliverKept(all);
    } else if (tries > 0) {
      world.loop.after(0.1, () -> deliverToNext(before, tries - 1));
    }
  }

  // ---------------------------------------------------------------- store and cloud

  private void outage(double length) {
    world.store.outage(true);
    world.loop.after(length, () -> world.store.outage(false));
  }

  private void refuse(int controller, double length) {
    world.refused[controller][0] = true;
    world.loop.after(length, () -> world.refused[controller][0] = false);
  }

  private void delayTransactions(int count, double seconds, boolean any) {
    int[] left = {count};
    world.store.delayS = seconds;
    world.store.delay = t -> left[0]-- > 0 && any;
  }

  private void delaySomeTransactions(double length) {
    world.store.delay =
        t -> {
          world.store.delayS = 2 + world.random.nextDouble() * 10;
          return world.random.nextInt(3) == 0;
        };
    world.loop.after(length, () -> world.store.delay = t -> false);
  }

  private void boots(double factor, double failed, double length) {
    world.cloud.bootFactor = factor;
    world.cloud.bootFail = failed;
    world.loop.after(
        length * 2,
        () -> {
          world.cloud.bootFactor = 1;
          world.cloud.bootFail = 0;
        });
  }

  // ---------------------------------------------------------------- users

  private void cancelBetweenRefusalAndOutage(Fault f, int leader) {
    world.refused[leader][0] = true;
    world.loop.after(f.pick() % 100 * 0.03, () -> cancelNow(3));
    world.loop.after(f.pick() % 37 * 0.2, () -> world.store.outage(true));
    world.loop.after(8, () -> world.refused[leader][0] = false);
    world.loop.after(12 + f.length() * 2, () -> world.store.outage(false));
  }

  /** Users cancel some jobs that run, at once and at any controller. */
  private void cancelNow(int most) {
    int n = 0;
    for (SimJob job : world.invariants.jobs.values()) {
      if (n < most && job.accepted && !job.cancelAsked && !job.lastStage.equals("done")) {
        n++;
        world.users.cancel(world.random.nextInt(world.size), job);
      }
    }
  }

  /** Users ask many times as often, about jobs of old and about some that nobody submitted. */
  private void pollStorm(double until) {
    for (SimJob job : world.invariants.jobs.values()) {
      if (job.accepted) {
        world.users.poll(world.random.nextInt(world.size), job);
      }
    }
    String id = String.format("j-%06d", 900000 + world.random.nextInt(100));
    world.users.ask(
        world.random.nextInt(world.size),
        "GET",
        "/v1/jobs/" + id,
        null,
        (reply, body) -> world.invariants.toldOfNobodys(id, reply.status()));
    if (world.loop.now() < until) {
      world.loop.after(0.3, () -> pollStorm(until));
    }
  }
}

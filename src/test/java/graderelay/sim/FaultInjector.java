package graderelay.sim;

import java.util.ArrayList;
import java.util.List;

/** Brings the troubles of a random day about in a simulated world. */
public final class FaultInjector {
  private static final double LONGEST_OUTAGE_S = 25;

  /** Tries, a tenth of a second apart, to find another leader. */
  private static final int DELIVERY_TRIES = 40;

  private final SimWorld world;

  /** Creates an injector of faults into this world. */
  public FaultInjector(SimWorld world) {
    this.world = world;
  }

  /** Lets every trouble come at its time. */
  public void schedule(List<Fault> faults) {
    for (Fault f : faults) {
      world.loop.after(f.at(), () -> apply(f));
    }
  }

  private void apply(Fault f) {
    int controller = f.pick() % world.size;
    int leader = world.leader() < 0 ? controller : world.leader();
    world.rules.log("fault " + f);
    switch (f.kind()) {
      case CONTROLLER_CRASH -> restart(controller, f.length());
      case CONTROLLER_RESTART_AT_ONCE -> restart(controller, 0.2);
      case LEADER_CRASH -> restart(leader, f.length());
      case ALL_CONTROLLERS_CRASH -> restartAll(f.length());
      case CONTROLLER_AWAY -> restart(f.pick() % 2 == 0 ? leader : controller, 20 + f.length());
      case CONTROLLER_AWAY_IN_OUTAGE -> awayInOutage(f, controller, leader);
      case RESTART_AMID_ELECTION -> restartAmidElection(f, leader);
      case LEADERS_CHANGE -> changeLeaders(f);
      case CONTROLLER_CUT_OFF_FROM_STATE ->
          cut("c" + (f.pick() % 2 == 0 ? leader : controller), "state", f.length());
      case CONTROLLERS_CUT_OFF_FROM_EACH_OTHER -> {
        cut("c0", "c1", f.length());
        cut("c1", "c2", f.length());
      }
      case CONTROLLER_ISOLATED -> isolate(controller, f.length());
      case LEADER_ISOLATED -> isolate(leader, f.length());
      case ZONE_CUT_OFF -> cutZone(f);
      case STATE_OUTAGE -> outage(Math.min(LONGEST_OUTAGE_S, f.length()));
      case STATE_REFUSES_ONE -> refuse(controller, f.length());
      case STATE_REFUSES_LEADER -> refuse(leader, f.length());
      case STATE_SLOW -> {
        world.state.slowS = 0.1 + f.pick() % 20 * 0.1;
        world.loop.after(f.length(), () -> world.state.slowS = 0);
      }
      case TRANSACTIONS_LATE -> delayTransactions(3, f.length(), true);
      case MANY_TRANSACTIONS_LATE ->
          delayTransactions(12, Math.min(6, f.length()), f.pick() % 2 == 0);
      case SOME_TRANSACTIONS_LATE -> delaySomeTransactions(f.length());
      case TRANSACTION_ANSWERS_LOST -> {
        world.state.loseAnswer = t -> world.random.nextInt(3) == 0;
        world.loop.after(f.length(), () -> world.state.loseAnswer = t -> false);
      }
      case ANSWERS_LOST -> {
        world.net.loseAnswers = 0.2;
        world.loop.after(f.length(), () -> world.net.loseAnswers = 0);
      }
      case REPORTS_COPIED -> {
        world.net.copies = 0.5;
        world.net.copyDelayS = 0.5 + f.pick() % 40;
        world.loop.after(f.length(), () -> world.net.copies = 0);
      }
      case REPORTS_KEPT_FOR_NEXT_LEADER -> {
        world.net.keepHeartbeats();
        world.loop.after(f.length(), () -> deliverToNext(leader, DELIVERY_TRIES));
      }
      case SLOW_BOOTS -> boots(2 + f.pick() % 19, 0, f.length());
      case INSTANT_BOOTS -> boots(0.002, 0, f.length());
      case FAILED_BOOTS -> boots(1, 0.3 + f.pick() % 70 / 100.0, f.length());
      case QUESTION_STORM -> questionStorm(world.loop.now() + f.length());
      case CANCELLED_BETWEEN_REFUSAL_AND_OUTAGE -> cancelBetweenRefusalAndOutage(f, leader);
      case JOBS_CANCELLED -> {
        if (f.pick() % 2 == 0) {
          world.workers.values().forEach(worker -> worker.hang(f.length()));
        }
        cancelNow(1 + f.pick() % 5);
      }
      case JOBS_CANCELLED_AS_THEY_END -> {
        world.rules.onComplete = job -> world.cancel(world.random.nextInt(world.size), job);
        world.loop.after(f.length(), () -> world.rules.onComplete = job -> {});
      }
      case CLOSE_LOOKS -> {
        world.lookClosely();
        world.loop.after(f.length(), () -> world.rules.onTold = job -> {});
      }
      case MACHINE_CUT_OFF,
              MACHINE_CUT_OFF_FROM_LEADER,
              MACHINE_TAKEN,
              MACHINE_FAILS_TASKS,
              MACHINE_DEAF,
              MACHINES_MUTE,
              MACHINES_HANG ->
          applyToMachines(f, leader);
      default -> throw new AssertionError(f);
    }
  }

  private void applyToMachines(Fault f, int leader) {
    List<SimWorker> workers = new ArrayList<>(world.workers.values());
    if (workers.isEmpty()) {
      return;
    }
    SimWorker worker = workers.get(f.pick() % workers.size());
    switch (f.kind()) {
      case MACHINE_CUT_OFF -> {
        for (int i = 0; i < world.size; i++) {
          cut("c" + i, worker.name, f.length());
        }
      }
      case MACHINE_CUT_OFF_FROM_LEADER -> cut("c" + leader, worker.name, f.length());
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

  // ---------------------------------------------------------------- controllers

  /** Ends a controller that is up; it is back after so many seconds. */
  public void restart(int controller, double after) {
    if (world.isUp(controller)) {
      world.crash(controller);
      world.loop.after(after, () -> world.start(controller));
    }
  }

  private void restartAll(double after) {
    for (int i = 0; i < world.size; i++) {
      restart(i, after * (1 + i * 0.1));
    }
  }

  /** The leader ends, and so does another just when it may be winning the next term. */
  private void restartAmidElection(Fault f, int leader) {
    restart(leader, 0.2);
    double lease = world.settings(0).holdS();
    int next = (leader + 1) % world.size;
    world.loop.after(lease + f.pick() % 10 * 0.02, () -> restart(next, 0.1));
  }

  private void changeLeaders(Fault f) {
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

  /** Somebody is away for long, and the state service meanwhile, for all or but for one. */
  private void awayInOutage(Fault f, int controller, int leader) {
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

  // ---------------------------------------------------------------- network

  private void cut(String a, String b, double length) {
    world.net.cut(a, b);
    world.loop.after(length, () -> world.net.heal(a, b));
  }

  private void isolate(int controller, double length) {
    world.isolate(controller, true);
    world.loop.after(length, () -> world.isolate(controller, false));
  }

  private void cutZone(Fault f) {
    String zone = world.shape.zones().get(f.pick() % world.shape.zones().size());
    world.net.cutZone(zone, true);
    world.loop.after(f.length() * 1.6, () -> world.net.cutZone(zone, false));
  }

  /** Copies of reports that were kept come to all controllers once another leads. */
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

  // ---------------------------------------------------------------- state service and cloud

  private void outage(double length) {
    world.state.outage(true);
    world.loop.after(length, () -> world.state.outage(false));
  }

  private void refuse(int controller, double length) {
    world.refused[controller][0] = true;
    world.loop.after(length, () -> world.refused[controller][0] = false);
  }

  private void delayTransactions(int count, double seconds, boolean any) {
    int[] left = {count};
    world.state.delayS = seconds;
    world.state.delay = t -> left[0]-- > 0 && any;
  }

  private void delaySomeTransactions(double length) {
    world.state.delay =
        t -> {
          world.state.delayS = 2 + world.random.nextDouble() * 10;
          return world.random.nextInt(3) == 0;
        };
    world.loop.after(length, () -> world.state.delay = t -> false);
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
    world.loop.after(f.pick() % 37 * 0.2, () -> world.state.outage(true));
    world.loop.after(8, () -> world.refused[leader][0] = false);
    world.loop.after(12 + f.length() * 2, () -> world.state.outage(false));
  }

  /** Users cancel some jobs that run, at once and at any controller. */
  private void cancelNow(int most) {
    int n = 0;
    for (Rules.Known job : world.rules.jobs.values()) {
      if (n < most && job.accepted && !job.cancelAsked && !job.lastStage.equals("done")) {
        n++;
        world.cancel(world.random.nextInt(world.size), job);
      }
    }
  }

  /** Users ask many times as often, about jobs of old and about some that nobody submitted. */
  private void questionStorm(double until) {
    for (Rules.Known job : world.rules.jobs.values()) {
      if (job.accepted) {
        world.poll(world.random.nextInt(world.size), job);
      }
    }
    String id = String.format("j-%06d", 900000 + world.random.nextInt(100));
    world.ask(
        world.random.nextInt(world.size),
        "GET",
        "/v1/jobs/" + id,
        null,
        (reply, body) -> world.rules.toldOfNobodys(id, reply.status()));
    if (world.loop.now() < until) {
      world.loop.after(0.3, () -> questionStorm(until));
    }
  }
}

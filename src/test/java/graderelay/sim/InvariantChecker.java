package graderelay.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Checks what happens on the machines and what users are told against the protocol's rules. */
public final class InvariantChecker {
  private final SimLoop loop;
  private final double cancelS;
  private final double limit;
  public final Map<String, SimJob> jobs = new LinkedHashMap<>();

  /** The machine that runs a task, by task. */
  private final Map<String, String> machineOf = new HashMap<>();

  private final Map<String, String> zoneOf = new HashMap<>();

  /** CPUs that each team's tasks take, as the workers have them. */
  private final Map<String, Double> running = new HashMap<>();

  /** The team that the settings limit to the world's limit. */
  private static final String LIMITED = "team";

  public final List<String> violations = new ArrayList<>();
  public int starts;

  /** Hears of each job whose last task has completed. */
  public Consumer<SimJob> onComplete = job -> {};

  /** Hears of each start, of a task of this job. */
  public Consumer<SimJob> onStart = job -> {};

  /** Hears of each job about which its user was told something new. */
  public Consumer<SimJob> onTold = job -> {};

  private final Deque<String> trace = new ArrayDeque<>();

  InvariantChecker(SimLoop loop, double cancelS, double limit) {
    this.loop = loop;
    this.cancelS = cancelS;
    this.limit = limit;
  }

  /** CPUs that a team's tasks take, as the workers have them. */
  public double running(String team) {
    return running.getOrDefault(team, 0.0);
  }

  /** CPUs that the tasks on a machine take. */
  double cpusOn(String machine) {
    double cpus = 0;
    for (var placed : machineOf.entrySet()) {
      cpus += placed.getValue().equals(machine) ? job(placed.getKey()).cpus : 0;
    }
    return cpus;
  }

  /** Number of the job's tasks that are neither done nor on a machine. */
  int waitingTasks(SimJob job) {
    int onMachines = (int) machineOf.keySet().stream().filter(task -> job(task) == job).count();
    return job.tasks - job.done.size() - onMachines;
  }

  /** Adds a line with the virtual time to the trace. */
  public void log(String s) {
    trace.add(String.format("%.3f %s", loop.now(), s));
    if (trace.size() > 60) {
      trace.removeFirst();
    }
  }

  /** Returns the last lines of the trace. */
  public List<String> trace() {
    return new ArrayList<>(trace);
  }

  /** Records a violation. */
  void breaks(String rule) {
    log("BROKEN " + rule);
    violations.add(rule);
  }

  /** True if the task fails on every machine. */
  boolean mistaken(String task) {
    return job(task).failing;
  }

  private SimJob job(String task) {
    return jobs.get(task.substring(0, task.indexOf('/')));
  }

  /** Returns for how many seconds the task runs; zero means until it is stopped. */
  double runTime(String task) {
    return job(task).runS;
  }

  /** A task starts on a machine. */
  void started(String task, String machine, String type, String zone, boolean spot) {
    SimJob job = job(task);
    starts++;
    if (Double.isNaN(job.firstStart)) {
      job.firstStart = loop.now();
    }
    log("start " + task + " on " + machine);
    place(task, job, machine, zone);
    if (running(LIMITED) > limit + 1e-6) {
      breaks("quota " + running(LIMITED));
    }
    onStart.accept(job);
    for (SimJob n : job.dependencies) {
      if (!n.allDone()) {
        breaks("too_early " + task + " before " + n.id);
      }
    }
    checkPlacement(task, job, machine, zone, spot);
    if (loop.now() > job.cancelledBy() + cancelS) {
      breaks("ran_cancelled " + task + " starts");
    }
  }

  /** Records where a task runs; it may not run on two machines at once. */
  private void place(String task, SimJob job, String machine, String zone) {
    String other = machineOf.put(task, machine);
    zoneOf.put(task, zone);
    if (other != null) {
      breaks("ran_twice " + task + " on " + other + " and " + machine);
    } else {
      running.merge(job.chargedTeam(), job.cpus, Double::sum);
    }
  }

  /** A task may only run where its job allows, and spread as its job asks. */
  private void checkPlacement(String task, SimJob job, String machine, String zone, boolean spot) {
    if (spot && !job.spot) {
      breaks("wrong_place " + task + " on spot " + machine);
    }
    if (job.zone != null && !job.zone.equals(zone)) {
      breaks("wrong_place " + task + " in " + zone);
    }
    if (job.spread) {
      long here =
          machineOf.keySet().stream()
              .filter(t -> job(t) == job && zoneOf.get(t).equals(zone))
              .count();
      if (here > (job.tasks + 1) / 2) {
        breaks("wrong_place " + task + ": " + here + " tasks in " + zone);
      }
    }
  }

  /** A task runs on a machine no longer. */
  void left(String task, String machine) {
    if (machine.equals(machineOf.get(task))) {
      machineOf.remove(task);
      running.merge(job(task).chargedTeam(), -job(task).cpus, Double::sum);
      log("end " + task + " on " + machine);
    }
  }

  /** A task has run to its end. */
  void completed(String task) {
    SimJob job = job(task);
    job.done.add(Integer.parseInt(task.substring(task.indexOf('/') + 1)));
    if (job.allDone()) {
      onComplete.accept(job);
    }
  }

  /** To be called now and then: what a cancelled job may still run. */
  void check() {
    for (var e : machineOf.entrySet()) {
      if (loop.now() > job(e.getKey()).cancelAnswered + cancelS) {
        breaks("ran_cancelled " + e.getKey() + " is on " + e.getValue());
        return;
      }
    }
  }

  /**
   * What a user was told about a job. {@code lastAnswer} is what had been told when the request
   * left: of two requests that cross, either may be answered first.
   */
  void told(SimJob job, int status, String stage, boolean submission, String lastAnswer) {
    boolean accepted = !lastAnswer.isEmpty();
    if (status == 404 && accepted) {
      breaks("forgotten " + job.id);
    }
    if (submission && accepted && (status == 400 || status == 422)) {
      breaks("forgotten " + job.id + ": " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    checkStage(job, stage, lastAnswer);
    boolean over = stage.equals("done") || stage.equals("cancelled");
    final boolean isNew = over ? !job.lastStage.equals(stage) : submission && !job.accepted;
    remember(job, stage, submission);
    if (isNew) {
      onTold.accept(job);
    }
  }

  private void checkStage(SimJob job, String stage, String lastAnswer) {
    boolean wasOver = lastAnswer.equals("done") || lastAnswer.equals("cancelled");
    if (wasOver && !stage.equals(lastAnswer)) {
      breaks("went_back " + job.id + " from " + lastAnswer + " to " + stage);
    }
    if (stage.equals("done") && job.done.size() < job.tasks) {
      breaks("not_done " + job.id);
    }
    if (!stage.equals("cancelled")
        && !stage.equals("done")
        && loop.now() > job.cancelledBy() + cancelS) {
      breaks("orphaned " + job.id + " is " + stage);
    }
    if (stage.equals("cancelled") && !job.cancelWanted()) {
      breaks("went_back " + job.id + ": cancelled by nobody");
    }
  }

  private void remember(SimJob job, String stage, boolean submission) {
    if (stage.equals("done") || stage.equals("cancelled")) {
      job.lastStage = stage;
    }
    if (stage.equals("cancelled") && Double.isNaN(job.cancelAnswered)) {
      job.cancelAnswered = loop.now(); // A poll tells of it as well as the cancellation's answer.
      log("cancelled " + job.id);
    }
    if (submission) {
      job.acceptedAt = job.accepted ? job.acceptedAt : loop.now();
      job.accepted = true;
    }
  }

  /** A controller of the version in production met a record that it can't read. */
  void unreadable(String key) {
    breaks("unreadable for the version in production: " + key);
  }

  /** What a user was told about a job that nobody submitted. */
  public void toldOfNobodys(String id, int status) {
    if (status == 200) {
      breaks("invented " + id);
    }
  }
}

package graderelay.core;

import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** A scheduler without controller or network, and steps that drive it in tests of the core. */
public final class SchedulerFixture {
  private SchedulerFixture() {}

  private static final java.util.WeakHashMap<Scheduler, List<Action>> TAKEN =
      new java.util.WeakHashMap<>();

  /** A leader that has taken its first look. */
  public static Scheduler scheduler(long term) {
    Scheduler s = takingOver(term);
    s.onRecordsLoaded(0);
    return s;
  }

  /** A leader that is still reading the records. */
  public static Scheduler takingOver(long term) {
    return takingOver(term, Map.of());
  }

  /** One whose classes of jobs have wanted waiting times. */
  public static Scheduler takingOver(long term, Map<String, List<Double>> waits) {
    return takingOver(term, waits, 300);
  }

  /** One that may make only so many changes a second. */
  public static Scheduler takingOver(
      long term, Map<String, List<Double>> waits, double changesPerS) {
    Map<String, Double> first = new HashMap<>();
    waits.forEach((c, steps) -> first.put(c, steps.get(0)));
    Policy p =
        new Policy(
            List.of(new Team("team", 8, 24, 0, 0)),
            Map.of(),
            0,
            SimWorld.HEARTBEAT_S,
            SimWorld.LEASE_S,
            3,
            SimWorld.TXN_OPS,
            16 * 1024,
            changesPerS,
            68,
            first,
            waits,
            Map.of(),
            new Policy.Tuning(500, 3, 3, 30, 1, true, false));
    Scheduler s = new Scheduler(p, term, "process", new SplittableRandom(1), 0);
    s.onMachineTypes(List.of(new MachineType("small", 4, 0, 16, 1, 1, 0.4, 5, List.of("a", "b"))));
    return s;
  }

  /** The record of a job's only task, claimed as its first attempt. */
  public static TaskBatchRecord claimed(String machine, long session) {
    return new TaskBatchRecord(
        new int[] {1}, new String[] {machine}, new long[] {session}, new boolean[1]);
  }

  /** An array of tasks that share an image. */
  public static JobSpec array(String id, int tasks) {
    return array(id, tasks, "i");
  }

  /** An array of tasks of this image. */
  public static JobSpec array(String id, int tasks, String image) {
    return spec(id, JobKind.ARRAY, Priority.NORMAL, tasks, image, null, false);
  }

  /** An array that should be done so long after its submission. */
  public static JobSpec due(String id, int tasks, double deadlineS) {
    return spec(id, JobKind.ARRAY, Priority.NORMAL, tasks, "i", deadlineS, false);
  }

  /** An array of another priority, with a deadline or without. */
  public static JobSpec ranked(String id, Priority priority, int tasks, Double deadlineS) {
    return spec(id, JobKind.ARRAY, priority, tasks, "i", deadlineS, false);
  }

  /** An array of a team that the settings don't limit, of the lowest priority. */
  public static JobSpec guests(String id, int tasks) {
    return like(ranked(id, Priority.LOW, tasks, null), "study", "guest", 1);
  }

  /** An urgent array of a team that the settings don't limit, with tasks of so many CPUs. */
  public static JobSpec urgentGuests(String id, int tasks, double cpus) {
    return like(ranked(id, Priority.URGENT, tasks, null), "study", "guest", cpus);
  }

  /** An array of tasks of which thousands would fit on one machine. */
  public static JobSpec tiny(String id, int tasks) {
    return like(array(id, tasks), "batch", "team", 0.001);
  }

  /** An array of tasks each of which takes a whole machine. */
  public static JobSpec wholeMachines(String id, int tasks) {
    return like(array(id, tasks), "study", "guest", 4);
  }

  /** The same array in another class and team, with tasks that take so much. */
  private static JobSpec like(JobSpec s, String jobClass, String team, double amount) {
    return new JobSpec(
        s.id(),
        jobClass,
        team,
        s.kind(),
        s.priority(),
        s.tasks(),
        amount,
        0,
        amount,
        s.image(),
        s.imageGb(),
        null,
        null,
        false,
        false,
        true,
        10,
        0,
        0,
        null,
        0,
        500,
        List.of());
  }

  /** A service of so many replicas. */
  public static JobSpec service(String id, int tasks) {
    return spec(id, JobKind.SERVICE, Priority.PROD, tasks, "i", null, false);
  }

  /** A service of which at most half may be in one zone. */
  public static JobSpec spread(String id, int tasks) {
    return spec(id, JobKind.SERVICE, Priority.PROD, tasks, "i", null, true);
  }

  private static JobSpec spec(
      String id,
      JobKind kind,
      Priority priority,
      int tasks,
      String image,
      Double deadlineS,
      boolean spread) {
    boolean array = kind == JobKind.ARRAY;
    return new JobSpec(
        id,
        array ? "batch" : "web",
        "team",
        kind,
        priority,
        tasks,
        1,
        0,
        1,
        image,
        1,
        null,
        null,
        false,
        spread,
        array,
        array ? 10 : 0,
        0,
        0,
        deadlineS,
        0,
        500,
        List.of());
  }

  /** A heartbeat of a machine that shows these tasks. */
  public static Heartbeat heartbeat(
      String machine, long session, long seq, long term, Heartbeat.Entry... tasks) {
    return new Heartbeat(
        machine, machine + ":9000", "small", "a", false, session, seq, term, null, List.of(tasks));
  }

  /** A heartbeat that is answered. */
  public static void machine(Scheduler s, String name, long session, long seq, double now) {
    s.onHeartbeat(heartbeat(name, session, seq, s.term()), now);
    s.onHeartbeatAnswered(name, now);
  }

  /** The name of the i-th machine. */
  public static String name(int i) {
    return String.format("n-%06d", i);
  }

  /** A machine that has sent a heartbeat, hears the leader and has shown it. */
  public static void hearing(Scheduler s, String name, double now) {
    machine(s, name, 1, 1, now);
  }

  /** Returns all actions that the scheduler has given and no step has answered. */
  public static List<Action> taken(Scheduler s) {
    List<Action> all = TAKEN.computeIfAbsent(s, k -> new ArrayList<>());
    all.addAll(s.takeActions());
    return all;
  }

  /** Answers all scale outs of one plan with new machine names and returns these. */
  public static List<String> scaledOut(Scheduler s, double now) {
    List<String> names = new ArrayList<>();
    for (Action a : new ArrayList<>(taken(s))) {
      if (a instanceof Action.ScaleOut h) {
        taken(s).remove(a);
        List<String> some = new ArrayList<>();
        for (int i = 0; i < h.count(); i++) {
          some.add("h-" + (int) (now * 10) + "-" + h.id() + "-" + i);
        }
        s.onScaleOutResponse(h.id(), some, false, now);
        names.addAll(some);
      }
    }
    return names;
  }

  /** Returns the texts of all log lines so far. */
  public static List<String> logLines(Scheduler s) {
    List<String> lines = new ArrayList<>();
    for (Action a : taken(s)) {
      if (a instanceof Action.LogLine n) {
        lines.add(n.text());
      }
    }
    return lines;
  }

  private static final java.util.WeakHashMap<Scheduler, int[]> WRITES =
      new java.util.WeakHashMap<>();

  /** Transactions answered so far by {@link #commitAll}. */
  public static int writes(Scheduler s) {
    return WRITES.computeIfAbsent(s, k -> new int[1])[0];
  }

  /** Returns how many launches the direct commands ask for. */
  public static long launches(Scheduler s) {
    return taken(s).stream()
        .filter(a -> a instanceof Action.SendCommands)
        .flatMap(a -> ((Action.SendCommands) a).commands().stream())
        .filter(o -> o instanceof WorkerCommand.Launch)
        .count();
  }

  /** Answers the transactions that were sent, without a round before. */
  public static void answerWrites(Scheduler s, TransactionOutcome how, double now) {
    for (Action a : new ArrayList<>(taken(s))) {
      if (a instanceof Action.Write w) {
        TAKEN.get(s).remove(a);
        s.onTransactionOutcome(w.id(), how, 0, now);
      }
    }
  }

  /** Runs a round and commits what it writes, at the revision given. */
  public static void commitAll(Scheduler s, long revision, double now) {
    s.step(now);
    List<Action> all = taken(s);
    for (Action a : new ArrayList<>(all)) {
      if (a instanceof Action.Write w) {
        all.remove(a);
        writes(s);
        WRITES.get(s)[0]++;
        s.onTransactionOutcome(w.id(), TransactionOutcome.COMMITTED, revision, now);
      }
    }
    s.step(now + 0.05);
  }

  /** Answers the latest direct commands with a heartbeat that refuses them. */
  public static void answerDirect(Scheduler s, Heartbeat r, double now) {
    for (Action a : new ArrayList<>(taken(s))) {
      if (a instanceof Action.SendCommands c) {
        TAKEN.get(s).remove(a);
        s.onCommandDelivery(c, CommandDelivery.REFUSED, r, now);
      }
    }
  }

  private static final java.util.WeakHashMap<Scheduler, Map<String, Map<String, Integer>>> RUNNING =
      new java.util.WeakHashMap<>();

  /**
   * The machine takes what it was told to start, in two heartbeats of which the second shows it; up
   * to so many of its tasks are done by then.
   */
  public static void work(Scheduler s, String machine, long seq, int done, double now) {
    Map<String, Integer> running =
        RUNNING
            .computeIfAbsent(s, k -> new HashMap<>())
            .computeIfAbsent(machine, k -> new LinkedHashMap<>());
    for (Action a : new ArrayList<>(taken(s))) {
      if (a instanceof Action.SendCommands c && c.machine().equals(machine)) {
        TAKEN.get(s).remove(a);
        start(c.commands(), running);
      }
    }
    Heartbeat first = heartbeat(machine, 1, seq, s.term(), shown(running, 0));
    s.onHeartbeat(first, now);
    s.onHeartbeatAnswered(machine, now);
    start(s.commandsFor(first, now), running);
    Heartbeat second = heartbeat(machine, 1, seq + 1, s.term(), shown(running, done));
    s.onHeartbeat(second, now + 0.5);
    s.onHeartbeatAnswered(machine, now + 0.5);
    var it = running.keySet().iterator();
    for (int i = 0; i < done && it.hasNext(); i++) {
      it.next();
      it.remove();
    }
  }

  private static void start(List<WorkerCommand> commands, Map<String, Integer> running) {
    for (WorkerCommand o : commands) {
      if (o instanceof WorkerCommand.Launch l) {
        running.put(l.task(), l.attempt());
      }
    }
  }

  private static Heartbeat.Entry[] shown(Map<String, Integer> running, int done) {
    List<Heartbeat.Entry> tasks = new ArrayList<>();
    running.forEach(
        (t, attempt) -> {
          boolean over = tasks.size() < done;
          tasks.add(
              new Heartbeat.Entry(
                  t,
                  attempt,
                  over ? Heartbeat.Stage.EXITED : Heartbeat.Stage.RUNNING,
                  over ? "done" : "",
                  false));
        });
    return tasks.toArray(new Heartbeat.Entry[0]);
  }

  /** Changes of task batches in transactions that nobody has answered. */
  public static int changesOut(Scheduler s) {
    return taken(s).stream()
        .mapToInt(a -> a instanceof Action.Write w ? w.taskBatches().size() : 0)
        .sum();
  }

  /** Starts of a job's tasks that the log lines tell of. */
  public static long tasksStarted(Scheduler s, String job) {
    return logLines(s).stream().filter(n -> n.startsWith("start " + job + "/")).count();
  }

  /** Returns how many claims a machine holds. */
  public static int claimsOf(Scheduler s, String machine) {
    return s.machines(0).stream()
        .filter(m -> m.name().equals(machine))
        .findFirst()
        .orElseThrow()
        .claims();
  }
}

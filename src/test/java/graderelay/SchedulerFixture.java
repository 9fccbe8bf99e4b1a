package graderelay;

import graderelay.core.Action;
import graderelay.core.CommandDelivery;
import graderelay.core.Heartbeat;
import graderelay.core.JobSpec;
import graderelay.core.Kind;
import graderelay.core.MachineType;
import graderelay.core.Policy;
import graderelay.core.Priority;
import graderelay.core.Scheduler;
import graderelay.core.TaskBatchRecord;
import graderelay.core.Team;
import graderelay.core.TransactionOutcome;
import graderelay.core.WorkerCommand;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Small words to tell stories of the core alone with. */
final class SchedulerFixture {
  private SchedulerFixture() {}

  private static final java.util.WeakHashMap<Scheduler, List<Action>> TAKEN =
      new java.util.WeakHashMap<>();

  /** A leader that has taken its first look. */
  static Scheduler scheduler(long term) {
    Scheduler s = takingOver(term);
    s.loaded(0);
    return s;
  }

  /** A leader that is still reading the records. */
  static Scheduler takingOver(long term) {
    return takingOver(term, Map.of());
  }

  /** One whose classes of jobs have wanted waiting times. */
  static Scheduler takingOver(long term, Map<String, List<Double>> waits) {
    return takingOver(term, waits, 300);
  }

  /** One that may make only so many changes a second. */
  static Scheduler takingOver(long term, Map<String, List<Double>> waits, double changesPerS) {
    Map<String, Double> first = new HashMap<>();
    waits.forEach((c, steps) -> first.put(c, steps.get(0)));
    Policy p =
        new Policy(
            List.of(new Team("team", 8, 24, 0, 0)),
            Map.of(),
            0,
            SimWorld.REPORT_S,
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
    s.onTypes(List.of(new MachineType("small", 4, 0, 16, 1, 1, 0.4, 5, List.of("a", "b"))));
    return s;
  }

  /** The record of a job's only task, claimed as its first attempt. */
  static TaskBatchRecord claimed(String machine, long session) {
    return new TaskBatchRecord(
        new int[] {1}, new String[] {machine}, new long[] {session}, new boolean[1]);
  }

  static JobSpec array(String id, int tasks) {
    return array(id, tasks, "i");
  }

  static JobSpec array(String id, int tasks, String image) {
    return spec(id, Kind.ARRAY, Priority.NORMAL, tasks, image, null, false);
  }

  /** An array that should be done so long after its submission. */
  static JobSpec due(String id, int tasks, double deadlineS) {
    return spec(id, Kind.ARRAY, Priority.NORMAL, tasks, "i", deadlineS, false);
  }

  /** An array of another priority, with a deadline or without. */
  static JobSpec ranked(String id, Priority priority, int tasks, Double deadlineS) {
    return spec(id, Kind.ARRAY, priority, tasks, "i", deadlineS, false);
  }

  /** An array of a team that the settings don't limit, of the lowest priority. */
  static JobSpec guests(String id, int tasks) {
    return like(ranked(id, Priority.LOW, tasks, null), "study", "guest", 1);
  }

  /** An urgent array of a team that the settings don't limit, with tasks of so many CPUs. */
  static JobSpec urgentGuests(String id, int tasks, double cpus) {
    return like(ranked(id, Priority.URGENT, tasks, null), "study", "guest", cpus);
  }

  /** An array of tasks of which thousands would fit on one machine. */
  static JobSpec tiny(String id, int tasks) {
    return like(array(id, tasks), "batch", "team", 0.001);
  }

  /** An array of tasks each of which takes a whole machine. */
  static JobSpec wholeMachines(String id, int tasks) {
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

  static JobSpec service(String id, int tasks) {
    return spec(id, Kind.SERVICE, Priority.PROD, tasks, "i", null, false);
  }

  /** A service of which at most half may be in one zone. */
  static JobSpec spread(String id, int tasks) {
    return spec(id, Kind.SERVICE, Priority.PROD, tasks, "i", null, true);
  }

  private static JobSpec spec(
      String id,
      Kind kind,
      Priority priority,
      int tasks,
      String image,
      Double deadlineS,
      boolean spread) {
    boolean array = kind == Kind.ARRAY;
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

  static Heartbeat report(
      String machine, long session, long seq, long term, Heartbeat.Entry... tasks) {
    return new Heartbeat(
        machine, machine + ":9000", "small", "a", false, session, seq, term, null, List.of(tasks));
  }

  /** A report that is answered. */
  static void machine(Scheduler s, String name, long session, long seq, double now) {
    s.onHeartbeat(report(name, session, seq, s.term()), now);
    s.onHeartbeatAnswered(name, now);
  }

  static List<Action> taken(Scheduler s) {
    List<Action> all = TAKEN.computeIfAbsent(s, k -> new ArrayList<>());
    all.addAll(s.take());
    return all;
  }

  static List<String> notes(Scheduler s) {
    List<String> notes = new ArrayList<>();
    for (Action a : taken(s)) {
      if (a instanceof Action.LogLine n) {
        notes.add(n.text());
      }
    }
    return notes;
  }

  private static final java.util.WeakHashMap<Scheduler, int[]> WRITES =
      new java.util.WeakHashMap<>();

  /** Transactions answered so far by {@link #commitAll}. */
  static int writes(Scheduler s) {
    return WRITES.computeIfAbsent(s, k -> new int[1])[0];
  }

  static long launches(Scheduler s) {
    return taken(s).stream()
        .filter(a -> a instanceof Action.SendCommands)
        .flatMap(a -> ((Action.SendCommands) a).commands().stream())
        .filter(o -> o instanceof WorkerCommand.Launch)
        .count();
  }

  /** Answers the transactions that were sent, without a round before. */
  static void answerWrites(Scheduler s, TransactionOutcome how, double now) {
    for (Action a : new ArrayList<>(taken(s))) {
      if (a instanceof Action.Write w) {
        TAKEN.get(s).remove(a);
        s.onWrite(w.id(), how, 0, now);
      }
    }
  }

  /** Runs a round and commits what it writes, at the revision given. */
  static void commitAll(Scheduler s, long revision, double now) {
    s.step(now);
    List<Action> all = taken(s);
    for (Action a : new ArrayList<>(all)) {
      if (a instanceof Action.Write w) {
        all.remove(a);
        writes(s);
        WRITES.get(s)[0]++;
        s.onWrite(w.id(), TransactionOutcome.COMMITTED, revision, now);
      }
    }
    s.step(now + 0.05);
  }

  /** Answers the latest direct orders with a report that refuses them. */
  static void answerDirect(Scheduler s, Heartbeat r, double now) {
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
   * The machine takes what it was told to start, in two reports of which the second shows it; up to
   * so many of its tasks are done by then.
   */
  static void work(Scheduler s, String machine, long seq, int done, double now) {
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
    Heartbeat first = report(machine, 1, seq, s.term(), shown(running, 0));
    s.onHeartbeat(first, now);
    s.onHeartbeatAnswered(machine, now);
    start(s.commandsFor(first, now), running);
    Heartbeat second = report(machine, 1, seq + 1, s.term(), shown(running, done));
    s.onHeartbeat(second, now + 0.5);
    s.onHeartbeatAnswered(machine, now + 0.5);
    var it = running.keySet().iterator();
    for (int i = 0; i < done && it.hasNext(); i++) {
      it.next();
      it.remove();
    }
  }

  private static void start(List<WorkerCommand> orders, Map<String, Integer> running) {
    for (WorkerCommand o : orders) {
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
  static int changesOut(Scheduler s) {
    return taken(s).stream()
        .mapToInt(a -> a instanceof Action.Write w ? w.taskBatches().size() : 0)
        .sum();
  }

  /** Starts of a job's tasks that the notes tell of. */
  static long tasksStarted(Scheduler s, String job) {
    return notes(s).stream().filter(n -> n.startsWith("start " + job + "/")).count();
  }

  static int claimsOf(Scheduler s, String machine) {
    return s.machines(0).stream()
        .filter(m -> m.name().equals(machine))
        .findFirst()
        .orElseThrow()
        .claims();
  }
}

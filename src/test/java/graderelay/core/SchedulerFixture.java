package graderelay.core;

import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Creates schedulers without a controller or network, and drives them in tests of the core. */
public final class SchedulerFixture {
  /** Seconds after a cancellation in which leases may be renewed under an unfenced term. */
  static final double RENEWAL_LIMIT_S = 20;

  /** Seconds after a cancellation in which grants may be issued under an unfenced term. */
  static final double GRANT_LIMIT_S = 4;

  private SchedulerFixture() {}

  private static final java.util.WeakHashMap<Scheduler, List<Action>> PENDING_ACTIONS =
      new java.util.WeakHashMap<>();

  /** Creates the scheduler of a leader that has loaded the stored records. */
  public static Scheduler scheduler(long term) {
    Scheduler scheduler = loadingScheduler(term);
    scheduler.onRecordsLoaded(0);
    return scheduler;
  }

  /** Creates the scheduler of a leader that is still loading the stored records. */
  public static Scheduler loadingScheduler(long term) {
    return loadingScheduler(term, Map.of());
  }

  /** The same with target waiting times by job class. */
  public static Scheduler loadingScheduler(long term, Map<String, List<Double>> targetWaits) {
    return loadingScheduler(term, targetWaits, 300);
  }

  /** The same with a limit on the changes per second. */
  public static Scheduler loadingScheduler(
      long term, Map<String, List<Double>> targetWaits, double changesPerS) {
    Map<String, Double> initialTargets = new HashMap<>();
    targetWaits.forEach((jobClass, targets) -> initialTargets.put(jobClass, targets.get(0)));
    Policy policy =
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
            initialTargets,
            targetWaits,
            Map.of(),
            new Policy.LaunchFenceLimits(RENEWAL_LIMIT_S, GRANT_LIMIT_S),
            new Policy.Tuning(500, 3, 3, 30, 1, true, false));
    Scheduler scheduler = new Scheduler(policy, term, "process", new SplittableRandom(1), 0);
    scheduler.onMachineTypes(
        List.of(new MachineType("small", 4, 0, 16, 1, 1, 0.4, 5, List.of("a", "b"))));
    return scheduler;
  }

  /** Creates the record of a job with one task, whose first attempt is claimed. */
  public static TaskBatchRecord claimedRecord(String machine, long session) {
    return new TaskBatchRecord(
        new int[] {1}, new String[] {machine}, new long[] {session}, new boolean[1]);
  }

  /** Creates an array with the default image. */
  public static JobSpec array(String id, int tasks) {
    return JobSpecBuilder.array(id).tasks(tasks).build();
  }

  /** Creates an array with the given image. */
  public static JobSpec array(String id, int tasks, String image) {
    return JobSpecBuilder.array(id).tasks(tasks).image(image).build();
  }

  /** Creates an array with a deadline, relative to its submission. */
  public static JobSpec arrayWithDeadline(String id, int tasks, double deadlineS) {
    return JobSpecBuilder.array(id).tasks(tasks).deadlineS(deadlineS).build();
  }

  /** Creates an array with the given priority and optional deadline. */
  public static JobSpec arrayWithPriority(
      String id, Priority priority, int tasks, Double deadlineS) {
    return JobSpecBuilder.array(id).tasks(tasks).priority(priority).deadlineS(deadlineS).build();
  }

  /** Creates an array of the lowest priority, of a team without a limit in the settings. */
  public static JobSpec unlimitedTeamArray(String id, int tasks) {
    return unlimitedTeam(id, tasks).priority(Priority.LOW).build();
  }

  /** Creates an urgent array of a team without a limit in the settings. */
  public static JobSpec urgentUnlimitedTeamArray(String id, int tasks, double cpus) {
    return unlimitedTeam(id, tasks).priority(Priority.URGENT).taskSize(cpus).build();
  }

  /** Creates an array of such small tasks that thousands fit on one machine. */
  public static JobSpec tinyTaskArray(String id, int tasks) {
    return JobSpecBuilder.array(id).tasks(tasks).taskSize(0.001).build();
  }

  /** Creates an array of tasks that each need a whole machine. */
  public static JobSpec wholeMachineArray(String id, int tasks) {
    return unlimitedTeam(id, tasks).taskSize(4).build();
  }

  private static JobSpecBuilder unlimitedTeam(String id, int tasks) {
    return JobSpecBuilder.array(id).tasks(tasks).jobClass("study").team("guest");
  }

  /** Creates a service with the given number of replicas. */
  public static JobSpec service(String id, int tasks) {
    return JobSpecBuilder.service(id).tasks(tasks).build();
  }

  /** Creates a service with at most half of its replicas in one zone. */
  public static JobSpec spreadService(String id, int tasks) {
    return JobSpecBuilder.service(id).tasks(tasks).spread(true).build();
  }

  /** Creates a heartbeat that lists the given tasks. */
  public static Heartbeat heartbeat(
      String machine, long session, long seq, long term, Heartbeat.TaskStatus... tasks) {
    return new Heartbeat(
        machine, machine + ":9000", "small", "a", false, session, seq, term, null, List.of(tasks));
  }

  /** Sends a heartbeat without tasks and records its response. */
  public static void exchangeHeartbeat(
      Scheduler scheduler, String name, long session, long seq, double now) {
    scheduler.onHeartbeat(heartbeat(name, session, seq, scheduler.term()), now);
    scheduler.onHeartbeatResponse(name, now);
  }

  /** Returns the name of machine {@code i}. */
  public static String machineName(int i) {
    return String.format("n-%06d", i);
  }

  /** Adds a machine by a first heartbeat with the leader's term, which makes it available. */
  public static void registerMachine(Scheduler scheduler, String name, double now) {
    exchangeHeartbeat(scheduler, name, 1, 1, now);
  }

  /** Returns all actions of the scheduler that no test step has completed yet. */
  public static List<Action> pendingActions(Scheduler scheduler) {
    List<Action> actions = PENDING_ACTIONS.computeIfAbsent(scheduler, k -> new ArrayList<>());
    actions.addAll(scheduler.takeActions());
    return actions;
  }

  /** Completes all pending scale-outs with new machines and returns their names. */
  public static List<String> completeScaleOuts(Scheduler scheduler, double now) {
    List<String> names = new ArrayList<>();
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.ScaleOut scaleOut) {
        pendingActions(scheduler).remove(action);
        List<String> createdNames = new ArrayList<>();
        for (int i = 0; i < scaleOut.count(); i++) {
          createdNames.add("h-" + (int) (now * 10) + "-" + scaleOut.id() + "-" + i);
        }
        scheduler.onScaleOutResponse(scaleOut.id(), createdNames, false, now);
        names.addAll(createdNames);
      }
    }
    return names;
  }

  /** Returns the texts of all log lines so far. */
  public static List<String> logLines(Scheduler scheduler) {
    List<String> lines = new ArrayList<>();
    for (Action action : pendingActions(scheduler)) {
      if (action instanceof Action.LogLine logLine) {
        lines.add(logLine.text());
      }
    }
    return lines;
  }

  private static final java.util.WeakHashMap<Scheduler, int[]> COMMITTED_WRITES =
      new java.util.WeakHashMap<>();

  /** Returns the number of transactions committed so far by {@link #commitAll}. */
  public static int committedWrites(Scheduler scheduler) {
    return COMMITTED_WRITES.computeIfAbsent(scheduler, k -> new int[1])[0];
  }

  /** Returns the number of launches in the pending direct commands. */
  public static long pendingLaunches(Scheduler scheduler) {
    return pendingActions(scheduler).stream()
        .filter(action -> action instanceof Action.SendCommands)
        .flatMap(action -> ((Action.SendCommands) action).commands().stream())
        .filter(command -> command instanceof WorkerCommand.Launch)
        .count();
  }

  /** Completes the pending transactions with the given outcome, without running a round first. */
  public static void completeWrites(Scheduler scheduler, TransactionOutcome outcome, double now) {
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.Write write) {
        PENDING_ACTIONS.get(scheduler).remove(action);
        scheduler.onTransactionOutcome(write.id(), outcome, 0, now);
      }
    }
  }

  /** Runs a round and commits its transactions at the given revision. */
  public static void commitAll(Scheduler scheduler, long revision, double now) {
    scheduler.step(now);
    List<Action> actions = pendingActions(scheduler);
    for (Action action : new ArrayList<>(actions)) {
      if (action instanceof Action.Write write) {
        actions.remove(action);
        committedWrites(scheduler);
        COMMITTED_WRITES.get(scheduler)[0]++;
        scheduler.onTransactionOutcome(write.id(), TransactionOutcome.COMMITTED, revision, now);
      }
    }
    scheduler.step(now + 0.05);
  }

  /** Completes the pending direct commands as refused, with the given status of the worker. */
  public static void refuseDirectCommands(Scheduler scheduler, Heartbeat status, double now) {
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands sentCommands) {
        PENDING_ACTIONS.get(scheduler).remove(action);
        scheduler.onCommandDelivery(sentCommands, CommandDeliveryOutcome.REFUSED, status, now);
      }
    }
  }

  private static final java.util.WeakHashMap<Scheduler, Map<String, Map<String, Integer>>>
      RUNNING_ATTEMPTS = new java.util.WeakHashMap<>();

  /**
   * Simulates a machine that executes its launches and sends two heartbeats. The second one lists
   * the new attempts, and up to {@code doneCount} of the machine's tasks as done.
   */
  public static void runTasks(
      Scheduler scheduler, String machine, long seq, int doneCount, double now) {
    Map<String, Integer> running =
        RUNNING_ATTEMPTS
            .computeIfAbsent(scheduler, k -> new HashMap<>())
            .computeIfAbsent(machine, k -> new LinkedHashMap<>());
    for (Action action : new ArrayList<>(pendingActions(scheduler))) {
      if (action instanceof Action.SendCommands sentCommands
          && sentCommands.machine().equals(machine)) {
        PENDING_ACTIONS.get(scheduler).remove(action);
        addLaunched(sentCommands.commands(), running);
      }
    }
    Heartbeat first = heartbeat(machine, 1, seq, scheduler.term(), taskStatuses(running, 0));
    scheduler.onHeartbeat(first, now);
    scheduler.onHeartbeatResponse(machine, now);
    addLaunched(scheduler.respond(first, now).commands(), running);
    Heartbeat second =
        heartbeat(machine, 1, seq + 1, scheduler.term(), taskStatuses(running, doneCount));
    scheduler.onHeartbeat(second, now + 0.5);
    scheduler.onHeartbeatResponse(machine, now + 0.5);
    var iterator = running.keySet().iterator();
    for (int i = 0; i < doneCount && iterator.hasNext(); i++) {
      iterator.next();
      iterator.remove();
    }
  }

  private static void addLaunched(List<WorkerCommand> commands, Map<String, Integer> running) {
    for (WorkerCommand command : commands) {
      if (command instanceof WorkerCommand.Launch launch) {
        running.put(launch.task(), launch.attempt());
      }
    }
  }

  private static Heartbeat.TaskStatus[] taskStatuses(Map<String, Integer> running, int doneCount) {
    List<Heartbeat.TaskStatus> statuses = new ArrayList<>();
    running.forEach(
        (task, attempt) -> {
          boolean isDone = statuses.size() < doneCount;
          statuses.add(
              new Heartbeat.TaskStatus(
                  task,
                  attempt,
                  isDone ? Heartbeat.Stage.EXITED : Heartbeat.Stage.RUNNING,
                  isDone ? "done" : "",
                  false));
        });
    return statuses.toArray(new Heartbeat.TaskStatus[0]);
  }

  /** Returns the number of task batch changes in the pending transactions. */
  public static int changesInFlight(Scheduler scheduler) {
    return pendingActions(scheduler).stream()
        .mapToInt(action -> action instanceof Action.Write write ? write.taskBatches().size() : 0)
        .sum();
  }

  /** Returns the number of starts of the job's tasks in the log. */
  public static long tasksStarted(Scheduler scheduler, String job) {
    return logLines(scheduler).stream()
        .filter(logLine -> logLine.startsWith("start " + job + "/"))
        .count();
  }

  /** Returns the number of claims on a machine. */
  public static int claimCount(Scheduler scheduler, String machine) {
    return scheduler.machines(0).stream()
        .filter(view -> view.name().equals(machine))
        .findFirst()
        .orElseThrow()
        .claims();
  }
}

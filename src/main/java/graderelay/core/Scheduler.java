package graderelay.core;

import graderelay.quota.Amount;
import graderelay.quota.StoredQuota;
import graderelay.quota.TeamStanding;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * What the leader of the fleet decides. Events come in with the time, actions go out; nothing here
 * waits, reads a clock or touches a socket. The parts share one {@link ClusterState}: {@link
 * StoredRecords} has the records, {@link CompareAndSwapWriter} and {@link CompareAndSwapAnswers}
 * the transactions that change them, {@link HeartbeatMonitor} what is proven gone, {@link
 * WorkerCommands} what workers are told.
 */
public final class Scheduler {
  /** How a transaction ended. */
  public enum Outcome {
    COMMITTED,
    /** Nothing was changed. */
    REFUSED,
    /** Nobody knows; the cache has been brought up to date since. */
    UNKNOWN
  }

  /** How commands sent straight to a worker ended. */
  public enum Sent {
    EXECUTED,
    /** Refused by the worker; nothing was executed. */
    REFUSED,
    /** The connection was never made, so they can't arrive. */
    NEVER_LEFT,
    /** No answer: they may still be carried out, minutes later. */
    UNKNOWN
  }

  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final CompareAndSwapWriter writer;
  private final CompareAndSwapAnswers answers;
  private final WorkerCommands commands;
  private final HeartbeatMonitor heartbeats;
  private final JobRecordEvents jobEvents;
  private final QuotaUpdates quota;
  private final MachineEvents machineEvents;
  private final AdminViews views;
  private final SchedulingRounds rounds;

  /**
   * Makes the core of a new leader.
   *
   * @param process tells this leader's process from all others
   */
  public Scheduler(Policy policy, long term, String process, RandomGenerator random, double now) {
    this.cluster = new ClusterState(policy, process + "-" + term);
    PlacementRound placement = new PlacementRound(cluster, random);
    this.planner = new FleetPlanner(cluster, now);
    cluster.term = term;
    cluster.firstTerm = term;
    cluster.tookOver = now;
    cluster.delegates =
        new LeaseDelegates(policy.delegates(), term, policy.delegateGrantS(), policy.leaseS(), now);
    cluster.dependencies = new Dependencies(cluster, planner::estimate);
    this.records = new StoredRecords(cluster);
    TransactionsInFlight inFlight = new TransactionsInFlight(cluster);
    this.writer = new CompareAndSwapWriter(cluster, records, inFlight);
    this.answers = new CompareAndSwapAnswers(cluster, records, inFlight);
    this.commands = new WorkerCommands(cluster, records);
    this.heartbeats = new HeartbeatMonitor(cluster, records, commands, planner);
    this.jobEvents = new JobRecordEvents(cluster, planner, records, commands);
    this.quota = new QuotaUpdates(cluster, records, policy.teams());
    this.machineEvents = new MachineEvents(cluster, planner, heartbeats, commands);
    this.views = new AdminViews(cluster);
    this.rounds =
        new SchedulingRounds(
            cluster, placement, planner, writer, commands, heartbeats, machineEvents, quota);
    answers.ended = (e, at) -> onEnd(e.job(), e.cancelled(), at, at);
  }

  // ---------------------------------------------------------------- records

  /** The first load is over: what comes from now on is new. */
  public void loaded(double now) {
    cluster.loading = false;
    cluster.dirty = true;
    cluster.note(
        "took over with term "
            + cluster.term
            + ": "
            + cluster.jobs.size()
            + " jobs, "
            + cluster.machines.values().stream().mapToInt(m -> m.claims.size()).sum()
            + " claims");
  }

  /** {@code submittedAt} is the job's time of submission on this clock. */
  public void onJob(JobSpec spec, boolean stop, long revision, double submittedAt, double now) {
    jobEvents.onJob(spec, stop, revision, submittedAt, now);
  }

  /**
   * The job was cancelled, although its record has not shown that yet: no start, no claim and no
   * end of it can commit against the record as we know it, and its tasks are stopped at once.
   */
  public void onCancelled(String job, double now) {
    jobEvents.onCancelled(job, now);
  }

  /** The committed final record of a job, which others may need; {@code at} is when it was made. */
  public void onEnd(String job, boolean cancelled, double at, double now) {
    jobEvents.onEnd(job, cancelled, at, now);
  }

  /** The state service allows less than at our start. */
  public void onLimits(int valueBytes, double changesPerS) {
    cluster.policy = cluster.policy.within(valueBytes, changesPerS);
  }

  /**
   * The stored limits and accounts, or null while they are switched off; to be told after the task
   * batches of the same moment.
   */
  public void onQuota(StoredQuota stored) {
    quota.onQuota(stored);
  }

  /** An operator wants a team's account written anew from its committed claims. */
  public void replaceAccount(String team) {
    quota.replaceAccount(team);
  }

  /** What an earlier leader kept of the demand. */
  public void onDemand(List<Action.Demand> classes, double now) {
    classes.forEach(d -> planner.onDemand(d, now));
  }

  /** What an earlier leader kept of the images on machines; to be told before the task batches. */
  public void onImages(Map<String, List<String>> machines) {
    cluster.knownImages.putAll(machines);
  }

  /** In how many records the images of each thousand machines are kept from now on. */
  public void onImageParts(int perThousand) {
    if (perThousand != cluster.imagePartsPerThousand) {
      cluster.imagePartsPerThousand = perThousand;
      cluster.imageParts(0);
    }
  }

  /** The job's record is gone from the store. */
  public void onJobGone(String id, double now) {
    jobEvents.onJobGone(id, now);
  }

  // ---------------------------------------------------------------- workers

  /**
   * A worker's heartbeat with status; the worker commands for the response come from {@link
   * #ordersFor}. A heartbeat that says nothing new sets nothing in motion: hundreds come every
   * second.
   *
   * @return false if it is a copy of the past, which proves nothing and renews nothing
   */
  public boolean onReport(Heartbeat r, double now) {
    return onReport(r, "", now);
  }

  /**
   * The same for a heartbeat that came to another controller, or to this one if {@code via} is "".
   */
  public boolean onReport(Heartbeat r, String via, double now) {
    return heartbeats.takeHeartbeat(r, via, now);
  }

  /** The worker's lease cannot begin later than this answer. */
  public void answered(String machine, double now) {
    heartbeats.answered(machine, now);
  }

  /** Worker commands for the response to the heartbeat that was just taken. */
  public List<WorkerCommand> ordersFor(Heartbeat r, double now) {
    return commands.ordersFor(r, now);
  }

  /**
   * How a worker command sent straight to a worker ended; {@code report} is the worker's answer, or
   * null if there is none.
   */
  public void onSent(Action.Command cmd, Sent how, Heartbeat report, double now) {
    heartbeats.onSent(cmd, how, report, now);
  }

  // ---------------------------------------------------------------- lease delegates

  /** Another controller asks to be our lease delegate in its zone; false if it is none of ours. */
  public boolean onDelegate(
      String member, String self, long n, long of, double echo, double aloneS, double now) {
    return cluster.delegates.ask(new LeaseDelegates.Ask(member, self, n, of, echo, aloneS), now);
  }

  /**
   * A lease delegate that doesn't reach us has given back what it was granted up to its question.
   */
  public void onDelegateReleased(
      String member, String self, long n, long of, double aloneS, double now) {
    cluster.delegates.free(member, self, n, of, aloneS, now);
  }

  // ---------------------------------------------------------------- the cloud

  /** The machine types that the cloud offers. */
  public void onTypes(Collection<MachineType> types) {
    machineEvents.onTypes(types);
  }

  /** One machine of the cloud's list. */
  public record Listed(
      String name,
      String address,
      String type,
      String zone,
      boolean spot,
      String stage,
      double ageS) {}

  /** The cloud's list of machines. */
  public void onList(List<Listed> list, double now) {
    machineEvents.onList(list, now);
  }

  /** The cloud answered scale-out request {@code id}: the machines created, or null without any. */
  public void onScaleOutAnswered(long id, List<String> names, boolean noCapacity, double now) {
    machineEvents.onScaleOutAnswered(id, names, noCapacity, now);
  }

  /** The cloud answered a deletion: the machines and everything on them are gone. */
  public void onScaledIn(List<String> names, double now) {
    machineEvents.onScaledIn(names, now);
  }

  // ---------------------------------------------------------------- transactions

  /** A task batch record came from the store at revision {@code revision}. */
  public void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long revision, double now) {
    records.onTaskBatch(key, record, revision, now);
  }

  /** A task batch record was removed from the store. */
  public void onTaskBatchGone(TaskBatchKey key) {
    records.onTaskBatchGone(key);
  }

  /** The answer to compare-and-swap transaction {@code id}; {@code revision} is its revision. */
  public void onWrite(long id, Outcome outcome, long revision, double now) {
    answers.onWrite(id, outcome, revision, now);
  }

  // ---------------------------------------------------------------- time

  /** The term was raised, or could not be. */
  public void onTerm(long newTerm, double now) {
    commands.onTerm(newTerm, now);
  }

  /** Looks at everything that only the passing of time changes. */
  public void tick(double now) {
    rounds.tick(now);
  }

  /** This leader's term: its fencing token. */
  public long term() {
    return cluster.term;
  }

  /** The operators changed the tuning of the settings. */
  public void onTuning(Policy.Tuning tuning) {
    cluster.policy = cluster.policy.with(tuning);
    cluster.dirty = true;
  }

  /** Runs a round if anything changed. Returns the seconds until it wants to be called again. */
  public double step(double now) {
    return rounds.step(now);
  }

  /** Takes the actions decided since the last call. */
  public List<Action> take() {
    List<Action> actions = new ArrayList<>(cluster.out);
    cluster.out.clear();
    return actions;
  }

  // ---------------------------------------------------------------- questions

  /** One line on a machine, for the administration API. */
  public record MachineView(
      String name,
      String type,
      String zone,
      boolean spot,
      String state,
      int claims,
      double cpusUsed,
      double cpus,
      double silentS) {}

  /** One line on each machine, for the administration API. */
  public List<MachineView> machines(double now) {
    return views.machines(now);
  }

  /** What each team uses, judged on claims. */
  public Map<String, Resources> teamUse() {
    return Map.copyOf(cluster.teamUse);
  }

  /**
   * How a team stands with its stored limit.
   *
   * @param waitingTasks tasks of the team that wait for a claim
   * @param waiting what those would take
   */
  public record TeamUsage(TeamStanding standing, long waitingTasks, Amount waiting) {}

  /** What the claims of a team take while limits are not stored. */
  public Amount teamClaims(String team) {
    return cluster.use(team).amount();
  }

  /** How a team stands; for the administration API. */
  public TeamUsage teamUsage(String team) {
    return views.teamUsage(team);
  }

  /** Why a job has tasks that wait, or null if it is not known or has none. */
  public String whyWaiting(String job) {
    return views.whyWaiting(job);
  }

  /** What operators keep off machines, as the settings have it now. */
  public void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    machineEvents.onCordons(cordoned, drained, now);
  }

  /** Machines and claims that rounds have looked at so far. */
  public long looked() {
    return cluster.looked;
  }

  /** Heartbeats dropped because newer ones had come before. */
  public long staleReports() {
    return heartbeats.stale;
  }
}

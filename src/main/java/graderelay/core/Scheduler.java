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
 * The scheduling core of the leader: a façade with one method for each event. Events come in with
 * the time, actions go out; nothing here waits, reads a clock or touches a socket. All times are
 * seconds on the leader's steady clock. The parts share one {@link ClusterState}: {@link
 * StoredRecords} has the records, {@link CompareAndSwapWriter} and {@link
 * TransactionOutcomeHandler} the transactions that change them, {@link HeartbeatHandler} and {@link
 * ClaimReconciler} what heartbeats show, {@link LostMachineHandler} what is proven gone without
 * them, and {@link WorkerControl} what workers are told.
 */
public final class Scheduler {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final TransactionOutcomeHandler answers;
  private final WorkerControl workers;
  private final HeartbeatHandler heartbeats;
  private final HeartbeatCommandSelector responses;
  private final CommandDeliveryHandler deliveries;
  private final JobRecordHandler jobEvents;
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
    this.planner = new FleetPlanner(cluster, now);
    cluster.term = term;
    cluster.firstTerm = term;
    cluster.leaderSince = now;
    cluster.delegates =
        new LeaseDelegates(policy.delegates(), term, policy.delegateGrantS(), policy.leaseS(), now);
    cluster.dependencies = new Dependencies(cluster, planner::estimate);
    this.records = new StoredRecords(cluster);
    this.workers = WorkerControl.create(cluster, records);
    DeletedMachines deleted = new DeletedMachines();
    ClaimReconciler reconciliation = new ClaimReconciler(cluster, records, planner);
    this.heartbeats =
        new HeartbeatHandler(cluster, deleted, reconciliation, workers.stopper(), planner);
    this.responses = new HeartbeatCommandSelector(cluster);
    this.deliveries = new CommandDeliveryHandler(cluster, records, heartbeats);
    this.jobEvents = new JobRecordHandler(cluster, planner, records, workers.stopper());
    TransactionsInFlight inFlight = new TransactionsInFlight(cluster);
    this.answers =
        new TransactionOutcomeHandler(
            cluster,
            records,
            inFlight,
            (end, at) -> jobEvents.onFinalRecord(end.job(), end.cancelled(), at, at));
    this.quota = new QuotaUpdates(cluster, records, policy.teams());
    LostMachineHandler proofs = new LostMachineHandler(cluster, records);
    this.machineEvents = new MachineEvents(cluster, planner, deleted, proofs, workers.stopper());
    this.views = new AdminViews(cluster);
    PlacementRound placement = new PlacementRound(cluster, random);
    CompareAndSwapWriter writer = new CompareAndSwapWriter(cluster, records, inFlight);
    JobEndWriter jobEnds = new JobEndWriter(cluster, records, inFlight);
    this.rounds =
        new SchedulingRounds(
            cluster, placement, planner, writer, jobEnds, workers, proofs, machineEvents, quota);
  }

  // ---------------------------------------------------------------- records

  /** The first load is over: what comes from now on is new. */
  public void loaded(double now) {
    cluster.loading = false;
    cluster.roundNeeded = true;
    cluster.log(
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
    jobEvents.onPeerCancellation(job, now);
  }

  /** The committed final record of a job, which others may need; {@code at} is when it was made. */
  public void onEnd(String job, boolean cancelled, double at, double now) {
    jobEvents.onFinalRecord(job, cancelled, at, now);
  }

  /** The key-value store allows smaller values, or fewer changes a second, than at our start. */
  public void onLimits(int valueBytes, double changesPerS) {
    cluster.policy = cluster.policy.within(valueBytes, changesPerS);
  }

  /**
   * The stored limits and accounts, or null while they are switched off; to be called after the
   * task batches of the same store update were taken in.
   */
  public void onQuota(StoredQuota stored) {
    quota.onQuota(stored);
  }

  /** An operator has a team's account rewritten from its committed claims. */
  public void replaceAccount(String team) {
    quota.replaceAccount(team);
  }

  /** The arrivals of work, by job class, that an earlier leader stored. */
  public void onDemand(List<Action.Demand> classes, double now) {
    classes.forEach(classDemand -> planner.onDemand(classDemand, now));
  }

  /** The images on machines that an earlier leader stored; to be called before the task batches. */
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
    jobEvents.onJobRemoved(id, now);
  }

  // ---------------------------------------------------------------- workers

  /**
   * A worker's heartbeat with status; the worker commands for the response come from {@link
   * #commandsFor}. A heartbeat that says nothing new sets nothing in motion: hundreds come every
   * second.
   *
   * @return false if it is a copy of the past, which proves nothing and renews nothing
   */
  public boolean onHeartbeat(Heartbeat heartbeat, double now) {
    return onHeartbeat(heartbeat, "", now);
  }

  /**
   * The same for a heartbeat that came to another controller, or to this one if {@code via} is "".
   */
  public boolean onHeartbeat(Heartbeat heartbeat, String via, double now) {
    return heartbeats.onHeartbeat(heartbeat, HeartbeatOrigin.workerInitiated(via), now);
  }

  /** The worker's lease cannot begin later than this answer. */
  public void onHeartbeatAnswered(String machine, double now) {
    heartbeats.onHeartbeatAnswered(machine, now);
  }

  /** Worker commands for the response to the heartbeat that was just taken. */
  public List<WorkerCommand> commandsFor(Heartbeat heartbeat, double now) {
    return responses.commandsFor(heartbeat, now);
  }

  /**
   * How the delivery of commands sent straight to a worker ended; {@code status} is the worker's
   * answer, or null if there is none.
   */
  public void onCommandDelivery(
      Action.SendCommands sent, CommandDeliveryOutcome delivery, Heartbeat status, double now) {
    deliveries.onCommandDelivery(sent, delivery, status, now);
  }

  // ---------------------------------------------------------------- lease delegates

  /**
   * Another controller requests a grant as our lease delegate in its zone.
   *
   * @param process tells its process from earlier ones of the same member
   * @param number number of the request within its process
   * @param grantTerm term of the leader whose grant it has, 0 if it has none
   * @param lastHeardAt our time of the last grant that it has heard of
   * @param aloneS seconds since it last answered workers by itself, or since its process began
   * @return false if it is none of our lease delegates
   */
  public boolean onDelegate(
      String member,
      String process,
      long number,
      long grantTerm,
      double lastHeardAt,
      double aloneS,
      double now) {
    return cluster.delegates.grant(
        new LeaseDelegates.GrantRequest(member, process, number, grantTerm, lastHeardAt, aloneS),
        now);
  }

  /**
   * A lease delegate that doesn't reach us has released its grants, up to the one for its request
   * {@code number}; see {@link #onDelegate}.
   */
  public void onDelegateReleased(
      String member, String process, long number, long grantTerm, double aloneS, double now) {
    cluster.delegates.release(
        new LeaseDelegates.GrantRelease(member, process, number, grantTerm, aloneS), now);
  }

  // ---------------------------------------------------------------- the cloud

  /** The machine types that the cloud offers. */
  public void onTypes(Collection<MachineType> types) {
    machineEvents.onTypes(types);
  }

  /** The cloud's list of machines. */
  public void onList(List<ListedMachine> list, double now) {
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
    records.onTaskBatchRemoved(key);
  }

  /** The answer to compare-and-swap transaction {@code id}; {@code revision} is its revision. */
  public void onWrite(long id, TransactionOutcome outcome, long revision, double now) {
    answers.onOutcome(id, outcome, revision, now);
  }

  // ---------------------------------------------------------------- time

  /** The term was raised, or could not be. */
  public void onTerm(long newTerm, double now) {
    workers.fencing().onRaiseOutcome(newTerm, now);
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
    cluster.roundNeeded = true;
  }

  /** Runs a round if anything changed. Returns the seconds until it wants to be called again. */
  public double step(double now) {
    return rounds.step(now);
  }

  /** Takes the actions decided since the last call. */
  public List<Action> take() {
    List<Action> actions = new ArrayList<>(cluster.actions);
    cluster.actions.clear();
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
    return cluster.quotas.usageByTeam();
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
    return cluster.quotas.usage(team).amount();
  }

  /** How a team stands; for the administration API. */
  public TeamUsage teamUsage(String team) {
    return views.teamUsage(team);
  }

  /** Why a job has tasks that wait, or null if it is not known or has none. */
  public String whyWaiting(String job) {
    return views.whyWaiting(job);
  }

  /** The machines that operators cordon or drain, as the settings have it now. */
  public void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    machineEvents.onCordons(cordoned, drained, now);
  }

  /** Machines and claims that scheduling rounds have examined so far. */
  public long examinedCount() {
    return cluster.examinedCount;
  }

  /** Heartbeats dropped because newer ones had come before. */
  public long staleHeartbeats() {
    return heartbeats.staleCount();
  }
}

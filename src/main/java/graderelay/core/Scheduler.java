package graderelay.core;

import graderelay.quota.Amount;
import graderelay.quota.StoredQuota;
import graderelay.quota.TeamQuotaStatus;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Entry point of the leader's scheduling core, with one method per event. Each event carries its
 * time and may produce {@link Action}s; the core does not block, read a clock or use sockets. All
 * times are in seconds on the leader's monotonic clock. The components share one {@link
 * ClusterState}: {@link StoredRecords} holds the records, {@link CompareAndSwapWriter} and {@link
 * TransactionOutcomeHandler} handle the transactions that change them, {@link HeartbeatHandler} and
 * {@link ClaimReconciler} process heartbeats, {@link LostMachineHandler} ends claims that are
 * proven gone without a heartbeat, and {@link WorkerControl} controls the tasks on workers.
 */
public final class Scheduler {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final TransactionOutcomeHandler transactionOutcomeHandler;
  private final WorkerControl workerControl;
  private final HeartbeatHandler heartbeatHandler;
  private final HeartbeatCommandSelector heartbeatCommandSelector;
  private final CommandDeliveryHandler commandDeliveryHandler;
  private final JobRecordHandler jobRecordHandler;
  private final QuotaUpdates quotaUpdates;
  private final MachineEvents machineEvents;
  private final AdminViews adminViews;
  private final SchedulingRounds rounds;

  /** Creates the core of a new leader; {@code process} is the unique ID of its process. */
  public Scheduler(Policy policy, long term, String process, RandomGenerator random, double now) {
    this.cluster = new ClusterState(policy, process + "-" + term);
    this.planner = new FleetPlanner(cluster, now);
    cluster.term = term;
    cluster.electedTerm = term;
    cluster.leaderSince = now;
    cluster.delegates =
        new LeaseDelegates(policy.delegates(), term, policy.delegateGrantS(), policy.leaseS(), now);
    cluster.dependencies = new DependencyGraph(cluster, planner::estimateRunTimeS);
    this.records = new StoredRecords(cluster);
    this.workerControl = WorkerControl.create(cluster, records);
    DeletedMachines deletedMachines = new DeletedMachines();
    ClaimReconciler claimReconciler = new ClaimReconciler(cluster, records, planner);
    this.heartbeatHandler =
        new HeartbeatHandler(
            cluster, deletedMachines, claimReconciler, workerControl.stopper(), planner);
    this.heartbeatCommandSelector = new HeartbeatCommandSelector(cluster, workerControl.fencing());
    this.commandDeliveryHandler = new CommandDeliveryHandler(cluster, records, heartbeatHandler);
    this.jobRecordHandler =
        new JobRecordHandler(cluster, planner, records, workerControl.stopper());
    TransactionsInFlight inFlight = new TransactionsInFlight(cluster);
    this.transactionOutcomeHandler =
        new TransactionOutcomeHandler(
            cluster,
            records,
            inFlight,
            (end, at) -> jobRecordHandler.onJobEnd(end.job(), end.cancelled(), at, at));
    this.quotaUpdates = new QuotaUpdates(cluster, records, policy.teams());
    LostMachineHandler lostMachineHandler = new LostMachineHandler(cluster, records);
    this.machineEvents =
        new MachineEvents(
            cluster, planner, deletedMachines, lostMachineHandler, workerControl.stopper());
    this.adminViews = new AdminViews(cluster);
    PlacementRound placement = new PlacementRound(cluster, random);
    CompareAndSwapWriter writer = new CompareAndSwapWriter(cluster, records, inFlight);
    JobEndWriter jobEndWriter = new JobEndWriter(cluster, records, inFlight);
    this.rounds =
        new SchedulingRounds(
            cluster,
            placement,
            planner,
            writer,
            jobEndWriter,
            workerControl,
            lostMachineHandler,
            machineEvents,
            quotaUpdates);
  }

  // ---------------------------------------------------------------- records

  /** Ends the initial load of the stored records; all later events are updates. */
  public void onRecordsLoaded(double now) {
    cluster.loading = false;
    cluster.roundNeeded = true;
    cluster.log(
        "leader started in term "
            + cluster.term
            + ": "
            + cluster.jobs.size()
            + " jobs, "
            + cluster.machines.values().stream().mapToInt(machine -> machine.claims.size()).sum()
            + " claims");
  }

  /**
   * Handles a new or changed job record.
   *
   * @param cancelRequested whether the job's cancellation was requested
   * @param submittedAt submission time on the leader's clock
   */
  public void onJob(
      JobSpec spec, boolean cancelRequested, long revision, double submittedAt, double now) {
    jobRecordHandler.onJob(spec, cancelRequested, revision, submittedAt, now);
  }

  /**
   * Handles a cancellation before the changed job record is received. Transactions of the job based
   * on the record revision known here can no longer commit, and its tasks are stopped at once.
   */
  public void onCancelled(String job, double now) {
    jobRecordHandler.onCancelled(job, now);
  }

  /** Handles the committed final record of a job, which other jobs may depend on. */
  public void onJobEnd(String job, boolean cancelled, double committedAt, double now) {
    jobRecordHandler.onJobEnd(job, cancelled, committedAt, now);
  }

  /** Lowers the limits on the size of a value and on changes per second in the key-value store. */
  public void onStoreLimits(int valueBytes, double changesPerS) {
    cluster.policy = cluster.policy.withStoreLimits(valueBytes, changesPerS);
  }

  /**
   * Handles the stored limits and accounts; null while stored limits are disabled. Must be called
   * after the task batches of the same store update.
   */
  public void onQuota(StoredQuota stored) {
    quotaUpdates.onQuota(stored);
  }

  /** Rewrites a team's account from its committed claims, at an operator's request. */
  public void replaceAccount(String team) {
    quotaUpdates.replaceAccount(team);
  }

  /** Handles the recent arrivals by job class that an earlier leader stored. */
  public void onStoredDemand(List<Action.Demand> classes, double now) {
    classes.forEach(classDemand -> planner.mergeStoredDemand(classDemand, now));
  }

  /** Handles an earlier leader's images by machine; to be called before the task batches. */
  public void onStoredImages(Map<String, List<String>> machines) {
    cluster.storedImages.putAll(machines);
  }

  /** Sets the number of image records per 1,000 machines. */
  public void onImageShards(int shardsPerThousandMachines) {
    if (shardsPerThousandMachines != cluster.imageShardsPerThousandMachines) {
      cluster.imageShardsPerThousandMachines = shardsPerThousandMachines;
      cluster.setImageShardCount(0);
    }
  }

  /** Handles the deletion of a job's record from the store. */
  public void onJobDeleted(String id, double now) {
    jobRecordHandler.onJobDeleted(id, now);
  }

  // ---------------------------------------------------------------- workers

  /**
   * Handles a worker's heartbeat; {@link #respond} returns the response. A heartbeat without
   * changes triggers no scheduling round, since hundreds arrive per second.
   *
   * @return false if the heartbeat is stale; it is then ignored and renews no lease
   */
  public boolean onHeartbeat(Heartbeat heartbeat, double now) {
    return onHeartbeat(heartbeat, "", now);
  }

  /** Handles a heartbeat received by {@code controller}, or by this one if that is "". */
  public boolean onHeartbeat(Heartbeat heartbeat, String controller, double now) {
    return heartbeatHandler.onHeartbeat(
        heartbeat, HeartbeatOrigin.workerInitiated(controller), now);
  }

  /**
   * True if the lease of a machine may be renewed under the present term. It must run out if a task
   * of a cancelled job could otherwise still be launched there after the cancellation deadline.
   */
  public boolean mayRenewLease(String machine, double now) {
    return workerControl.fencing().mayRenewLease(cluster.machines.get(machine), now);
  }

  /** Records that a heartbeat was responded to; the worker's lease cannot start later than that. */
  public void onHeartbeatResponse(String machine, double now) {
    heartbeatHandler.onHeartbeatResponse(machine, now);
  }

  /** Returns the response to the heartbeat that was just handled. */
  public HeartbeatResponse respond(Heartbeat heartbeat, double now) {
    return heartbeatCommandSelector.respond(heartbeat, now);
  }

  /**
   * Handles the outcome of sending commands directly to a worker.
   *
   * @param status the worker's response, or null if there is none
   */
  public void onCommandDelivery(
      Action.SendCommands sent, CommandDeliveryOutcome delivery, Heartbeat status, double now) {
    commandDeliveryHandler.onCommandDelivery(sent, delivery, status, now);
  }

  // ---------------------------------------------------------------- lease delegates

  /**
   * Handles the request of another controller for a grant as lease delegate of its zone; returns
   * false if it must not have one now.
   */
  public boolean onDelegationRequest(DelegationRequest request, double now) {
    return mayGrantDelegation(cluster.delegates.zoneOf(request.member()), now)
        && cluster.delegates.grant(request, now);
  }

  /** True if leases in the zone may be renewed for the duration of a grant from now on. */
  public boolean mayGrantDelegation(String zone, double now) {
    return zone != null && workerControl.fencing().mayGrantDelegation(zone, now);
  }

  /** Handles the release of grants by a lease delegate that cannot reach this leader. */
  public void onDelegationRelease(DelegationRelease release, double now) {
    cluster.delegates.release(release, now);
  }

  // ---------------------------------------------------------------- the cloud

  /** Handles the machine types that the cloud offers. */
  public void onMachineTypes(Collection<MachineType> types) {
    machineEvents.onMachineTypes(types);
  }

  /** Handles the cloud's list of machines. */
  public void onMachineList(List<ListedMachine> list, double now) {
    machineEvents.onMachineList(list, now);
  }

  /**
   * Handles the cloud's response to scale-out request {@code id}.
   *
   * @param machineNames machines created, or null if there are none
   * @param noCapacity whether the cloud reported that the pool has no capacity
   */
  public void onScaleOutResponse(
      long id, List<String> machineNames, boolean noCapacity, double now) {
    machineEvents.onScaleOutResponse(id, machineNames, noCapacity, now);
  }

  /** Handles the cloud's confirmation that machines are deleted, with all tasks on them. */
  public void onMachinesDeleted(List<String> machineNames, double now) {
    machineEvents.onMachinesDeleted(machineNames, now);
  }

  // ---------------------------------------------------------------- transactions

  /** Handles a task batch record in the store at revision {@code revision}. */
  public void onTaskBatch(TaskBatchKey key, TaskBatchRecord record, long revision, double now) {
    records.onTaskBatch(key, record, revision, now);
  }

  /** Handles the deletion of a task batch record from the store. */
  public void onTaskBatchDeleted(TaskBatchKey key) {
    records.onTaskBatchDeleted(key);
  }

  /**
   * Handles the outcome of compare-and-swap transaction {@code id}; {@code revision} is its
   * revision if it committed.
   */
  public void onTransactionOutcome(long id, TransactionOutcome outcome, long revision, double now) {
    transactionOutcomeHandler.onTransactionOutcome(id, outcome, revision, now);
  }

  // ---------------------------------------------------------------- time

  /**
   * Handles the outcome of {@link Action.RaiseTerm}; {@code newTerm} is higher than the current
   * term if it succeeded.
   */
  public void onTerm(long newTerm, double now) {
    workerControl.fencing().onTerm(newTerm, now);
  }

  /** Performs all time-based work, such as lease expiry, probes and the fleet plan. */
  public void tick(double now) {
    rounds.tick(now);
  }

  /** This leader's term: its fencing token. */
  public long term() {
    return cluster.term;
  }

  /** Applies changed operator settings. */
  public void onTuning(Policy.Tuning tuning) {
    cluster.policy = cluster.policy.with(tuning);
    cluster.roundNeeded = true;
  }

  /** Runs a scheduling round if one is due; returns the seconds until the next call is needed. */
  public double step(double now) {
    return rounds.step(now);
  }

  /** Returns and removes the actions decided since the last call. */
  public List<Action> takeActions() {
    List<Action> actions = new ArrayList<>(cluster.actions);
    cluster.actions.clear();
    return actions;
  }

  // ---------------------------------------------------------------- queries

  /** The state of a machine as shown by the administration API. */
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

  /** Returns a view of each machine for the administration API. */
  public List<MachineView> machines(double now) {
    return adminViews.machines(now);
  }

  /** Resources taken by the claims of each team. */
  public Map<String, Resources> usageByTeam() {
    return cluster.quotas.usageByTeam();
  }

  /**
   * A team's usage against its stored limit.
   *
   * @param waitingTasks number of the team's tasks that wait for a claim
   * @param waitingAmount resources that those tasks need
   */
  public record TeamUsage(TeamQuotaStatus standing, long waitingTasks, Amount waitingAmount) {}

  /** Resources taken by a team's claims; used while stored limits are disabled. */
  public Amount claimedAmount(String team) {
    return cluster.quotas.usage(team).amount();
  }

  /** Returns a team's usage for the administration API. */
  public TeamUsage teamUsage(String team) {
    return adminViews.teamUsage(team);
  }

  /** Why tasks of the job are waiting; null if the job is unknown or has no waiting tasks. */
  public String waitReason(String job) {
    return adminViews.waitReason(job);
  }

  /**
   * The wait of a job's open tasks.
   *
   * @param cause the label of why the last placement round placed none of them
   * @param endedBy the event that ends the wait
   * @param machines the numbers of machines that can't take a task of the job, by obstacle
   */
  public record JobWait(String cause, String endedBy, String machines) {}

  /** Describes a job's wait; null if the job is unknown or none of its tasks may be placed. */
  public JobWait jobWait(String job, double now) {
    return adminViews.jobWait(job, now);
  }

  /** Number of waiting jobs by the label of why the last placement round placed no task of them. */
  public Map<String, Integer> waitingJobsByCause() {
    return adminViews.waitingJobsByCause();
  }

  /** Applies the current settings of which machines operators cordon or drain. */
  public void onCordons(Set<String> cordoned, Set<String> drained, double now) {
    machineEvents.onCordons(cordoned, drained, now);
  }

  /**
   * Number of waiting tasks for which the last fleet plan neither found room nor requested a
   * machine, by the label of the cause.
   */
  public Map<String, Integer> unmetTasksByCause() {
    Map<String, Integer> tasksByLabel = new HashMap<>();
    planner.unmetTasksByCause().forEach((cause, tasks) -> tasksByLabel.put(cause.label, tasks));
    return tasksByLabel;
  }

  /** Number of machines and claims examined by scheduling rounds so far. */
  public long examinedCount() {
    return cluster.examinedCount;
  }

  /** Number of heartbeats dropped because a newer one had already been received. */
  public long staleHeartbeatCount() {
    return heartbeatHandler.staleCount();
  }
}

package graderelay.core;

/**
 * Handles heartbeats that workers send on their own initiative or in response to direct commands:
 * drops stale ones, renews the machine's lease, and has the claims on the machine reconciled with
 * the status.
 */
final class HeartbeatHandler {
  private final ClusterState cluster;
  private final DeletedMachines deletedMachines;
  private final ResponseLossDetector responseLossDetector;
  private final ClaimReconciler claimReconciler;
  private final TaskStopper taskStopper;
  private final FleetPlanner planner;
  private long staleCount;

  HeartbeatHandler(
      ClusterState cluster,
      DeletedMachines deletedMachines,
      ClaimReconciler claimReconciler,
      TaskStopper taskStopper,
      FleetPlanner planner) {
    this.cluster = cluster;
    this.deletedMachines = deletedMachines;
    this.responseLossDetector = new ResponseLossDetector(cluster);
    this.claimReconciler = claimReconciler;
    this.taskStopper = taskStopper;
    this.planner = planner;
  }

  /** Number of heartbeats dropped because a newer one had arrived before. */
  long staleCount() {
    return staleCount;
  }

  /**
   * Handles a heartbeat.
   *
   * @return false if it is stale, so that it neither proves anything nor renews the lease
   */
  boolean onHeartbeat(Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    if (deletedMachines.contains(heartbeat.machine())) {
      return false; // Delayed in the network: the cloud has reported the machine as deleted.
    }
    Machine machine = cluster.getOrAddMachine(heartbeat.machine(), now);
    if (machine.heartbeatReceived
        && !heartbeat.isNewerThan(machine.session, machine.lastHeartbeatSeq)) {
      onStaleHeartbeat(machine, heartbeat, origin);
      return false; // Delayed in the network: a newer status is known.
    }
    boolean isFirstHeartbeat = !machine.heartbeatReceived;
    final boolean wasAvailable = MachineAvailability.isAvailable(cluster, machine, now);
    if (isFirstHeartbeat || machine.type == null || !machine.type.equals(heartbeat.type())) {
      cluster.setTypeAndZone(machine, heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    }
    if (isFirstHeartbeat || heartbeat.session() != machine.session) {
      machine.sessionFirstSeenAt = now;
      machine.directLaunches.onNewSession();
    }
    if (!isFirstHeartbeat) {
      responseLossDetector.check(machine, heartbeat, origin, now);
    }
    recordHeartbeat(machine, heartbeat, origin, now);
    if (isFirstHeartbeat) {
      machine.idleSince = now;
      planner.onFirstHeartbeat(machine, now);
      cluster.log(
          "machine " + machine.name + " sends heartbeats: " + machine.type + " in " + machine.zone);
    }
    handleInterruptionNotice(machine, heartbeat, now);
    updateImages(machine, heartbeat, now);
    claimReconciler.reconcile(machine, heartbeat, origin.workerInitiated(), now);
    if (!wasAvailable && MachineAvailability.isAvailable(cluster, machine, now)) {
      cluster.roomVersion++;
      cluster.roundNeeded = true;
    }
    return true;
  }

  /** Handles a heartbeat that is not newer than the last one; its status is ignored. */
  private void onStaleHeartbeat(Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin) {
    staleCount++;
    if (origin.workerInitiated() && heartbeat.session() == machine.session) {
      // It was sent before the newer one arrived, so a response to it cannot renew the lease beyond
      // the arrival of the newer one.
      machine.lastResponseAt = Math.max(machine.lastResponseAt, machine.lastHeartbeatAt);
    }
  }

  /** Stores the worker's status from the heartbeat; an expired lease becomes valid again. */
  private void recordHeartbeat(
      Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    if (heartbeat.session() != machine.session) {
      machine.firstResponseAt = Double.NaN;
    }
    machine.heartbeatReceived = true;
    machine.leaseExpired = false;
    machine.address = heartbeat.address();
    machine.session = heartbeat.session();
    machine.lastHeartbeatSeq = heartbeat.seq();
    recordTerm(machine, heartbeat.term());
    machine.lastHeartbeatAt = now;
    machine.consecutiveProbeFailures = 0;
    if (origin.workerInitiated()) {
      machine.heartbeatController = origin.controller();
      machine.respondedToLastHeartbeat = false;
    }
    machine.lastHeartbeat = heartbeat;
    machine.imagesBeingFetched.clear();
  }

  /** Stores the highest term that the worker has seen. */
  private void recordTerm(Machine machine, long reportedTerm) {
    if (reportedTerm <= machine.highestReportedTerm) {
      return;
    }
    machine.highestReportedTerm = reportedTerm;
    machine.directLaunches.onReportedTerm(reportedTerm);
    // A lease delegate may have answered the worker under a higher term of this leader.
    machine.commandTerm = Math.max(machine.commandTerm, Math.min(reportedTerm, cluster.term));
  }

  /** Drains the machine when its worker reports the cloud's interruption notice. */
  private void handleInterruptionNotice(Machine machine, Heartbeat heartbeat, double now) {
    if (heartbeat.interruptionNoticeS() != null && machine.interruptionAt == null) {
      machine.interruptionAt = now + heartbeat.interruptionNoticeS();
      cluster.log(
          "machine "
              + machine.name
              + " will be reclaimed by the cloud in "
              + heartbeat.interruptionNoticeS()
              + " s");
      taskStopper.drainMachine(machine, now);
    }
  }

  /** Updates which images the machine is fetching and which it has. */
  private static void updateImages(Machine machine, Heartbeat heartbeat, double now) {
    for (Heartbeat.TaskStatus status : heartbeat.tasks()) {
      Claim claim = machine.claims.get(status.task());
      if (claim == null) {
        continue;
      }
      String image = claim.job.spec.image();
      if (status.stage() == Heartbeat.Stage.FETCHING) {
        machine.imagesBeingFetched.add(image);
      } else if (status.exitReason().isEmpty() || status.exitReason().equals("done")) {
        machine.recordImage(image, now);
      }
    }
  }

  /** Records a response to the machine's last heartbeat; the lease starts no later than this. */
  void onHeartbeatResponse(String machineName, double now) {
    Machine machine = cluster.machines.get(machineName);
    if (machine != null) {
      machine.lastResponseAt = now;
      machine.firstResponseAt =
          Double.isNaN(machine.firstResponseAt) ? now : machine.firstResponseAt;
      machine.respondedToLastHeartbeat = true;
    }
  }
}

package graderelay.core;

/**
 * Takes in workers' heartbeats, whether they sent them by themselves or in answer to commands:
 * drops stale copies, renews the machine's lease, and has the claims on the machine reconciled with
 * the status.
 */
final class HeartbeatIntake {
  private final ClusterState cluster;
  private final DeletedMachines deleted;
  private final AnswerLossDetector answerLoss;
  private final ClaimReconciliation reconciliation;
  private final TaskStops stops;
  private final FleetPlanner planner;
  private long staleCount;

  HeartbeatIntake(
      ClusterState cluster,
      DeletedMachines deleted,
      ClaimReconciliation reconciliation,
      TaskStops stops,
      FleetPlanner planner) {
    this.cluster = cluster;
    this.deleted = deleted;
    this.answerLoss = new AnswerLossDetector(cluster);
    this.reconciliation = reconciliation;
    this.stops = stops;
    this.planner = planner;
  }

  /** Heartbeats dropped so far because newer ones had come before. */
  long staleCount() {
    return staleCount;
  }

  /**
   * Takes a worker's status.
   *
   * @return false if it is a copy of the past, which proves nothing and renews nothing
   */
  boolean onHeartbeat(Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    if (deleted.contains(heartbeat.machine())) {
      return false; // Delayed on the way: the cloud has said that the machine is gone.
    }
    Machine machine = cluster.getOrAddMachine(heartbeat.machine(), now);
    if (machine.heartbeatReceived
        && !heartbeat.newerThan(machine.session, machine.lastHeartbeatSeq)) {
      onStaleHeartbeat(machine, heartbeat, origin);
      return false; // Delayed on the way: its list is older than what we know.
    }
    boolean first = !machine.heartbeatReceived;
    final boolean wasAvailable = MachineAvailability.isAvailable(cluster, machine, now);
    if (first || machine.type == null || !machine.type.equals(heartbeat.type())) {
      cluster.setTypeAndZone(machine, heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    }
    if (first || heartbeat.session() != machine.session) {
      machine.sessionFirstSeenAt = now;
      machine.unreapableAttempts.clear(); // Late commands name their session: refused now.
    }
    if (!first) {
      answerLoss.check(machine, heartbeat, origin, now);
    }
    recordHeartbeat(machine, heartbeat, origin, now);
    if (first) {
      machine.idleSince = now;
      planner.onFirstHeartbeat(machine, now);
      cluster.log(
          "machine " + machine.name + " sends heartbeats: " + machine.type + " in " + machine.zone);
    }
    takeInterruptionNotice(machine, heartbeat, now);
    learnImages(machine, heartbeat, now);
    reconciliation.reconcile(machine, heartbeat, origin.checkIn(), now);
    if (!wasAvailable && MachineAvailability.isAvailable(cluster, machine, now)) {
      cluster.roomVersion++;
      cluster.roundNeeded = true;
    }
    return true;
  }

  /** A heartbeat no newer than the last one taken: it proves nothing and renews nothing. */
  private void onStaleHeartbeat(Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin) {
    staleCount++;
    if (origin.checkIn() && heartbeat.session() == machine.session) {
      // It was sent before the newer one came, so an answer to it renews no further than that.
      machine.lastResponseAt = Math.max(machine.lastResponseAt, machine.lastHeartbeatAt);
    }
  }

  /** Keeps what the heartbeat says of its worker; a lease that had expired is renewed. */
  private static void recordHeartbeat(
      Machine machine, Heartbeat heartbeat, HeartbeatOrigin origin, double now) {
    if (heartbeat.session() != machine.session) {
      machine.firstResponseAt = Double.NaN;
    }
    machine.heartbeatReceived = true;
    machine.leaseExpired = false;
    machine.address = heartbeat.address();
    machine.session = heartbeat.session();
    machine.lastHeartbeatSeq = heartbeat.seq();
    machine.highestReportedTerm = Math.max(machine.highestReportedTerm, heartbeat.term());
    machine.lastHeartbeatAt = now;
    machine.consecutiveProbeFailures = 0;
    if (origin.checkIn()) {
      machine.heartbeatController = origin.controller();
      machine.lastHeartbeatAnswered = false;
    }
    machine.lastHeartbeat = heartbeat;
    machine.imagesBeingFetched.clear();
  }

  /** Drains the machine as soon as its worker says that the cloud will take it. */
  private void takeInterruptionNotice(Machine machine, Heartbeat heartbeat, double now) {
    if (heartbeat.noticeS() != null && machine.interruptionAt == null) {
      machine.interruptionAt = now + heartbeat.noticeS();
      cluster.log("machine " + machine.name + " will be taken in " + heartbeat.noticeS() + " s");
      stops.drainMachine(machine, now);
    }
  }

  /** Learns which images the machine is fetching, and which it has now. */
  private static void learnImages(Machine machine, Heartbeat heartbeat, double now) {
    for (Heartbeat.Entry entry : heartbeat.tasks()) {
      Claim claim = machine.claims.get(entry.task());
      if (claim == null) {
        continue;
      }
      String image = claim.job.spec.image();
      if (entry.stage() == Heartbeat.Stage.FETCHING) {
        machine.imagesBeingFetched.add(image);
      } else if (entry.why().isEmpty() || entry.why().equals("done")) {
        machine.recordImage(image, now);
      }
    }
  }

  /** The machine's last heartbeat was answered: its lease cannot begin later than this. */
  void onHeartbeatAnswered(String machineName, double now) {
    Machine machine = cluster.machines.get(machineName);
    if (machine != null) {
      machine.lastResponseAt = now;
      machine.firstResponseAt =
          Double.isNaN(machine.firstResponseAt) ? now : machine.firstResponseAt;
      machine.lastHeartbeatAnswered = true;
    }
  }
}

package graderelay.core;

/**
 * Takes in how commands sent straight to workers ended. A launch that was executed is confirmed,
 * one that can't arrive any more is not under way, and one without an answer stays unacknowledged
 * until a heartbeat shows the attempt or a higher term fences it.
 */
final class CommandDeliveryEvents {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final HeartbeatIntake heartbeats;

  CommandDeliveryEvents(ClusterState cluster, StoredRecords records, HeartbeatIntake heartbeats) {
    this.cluster = cluster;
    this.records = records;
    this.heartbeats = heartbeats;
  }

  /**
   * The delivery of the commands has ended.
   *
   * @param status the worker's answer, or null if there is none
   */
  void onDelivery(
      Action.SendCommands sent, CommandDelivery delivery, Heartbeat status, double now) {
    Machine machine = cluster.machines.get(sent.machine());
    if (machine == null) {
      return;
    }
    boolean answered = delivery == CommandDelivery.EXECUTED || delivery == CommandDelivery.REFUSED;
    machine.consecutiveProbeFailures = answered ? 0 : machine.consecutiveProbeFailures + 1;
    for (WorkerCommand command : sent.commands()) {
      if (command instanceof WorkerCommand.Launch launch) {
        onLaunchDelivery(machine, sent.session(), launch, delivery, now);
      }
    }
    if (status != null && status.machine().equals(sent.machine())) {
      heartbeats.onHeartbeat(status, HeartbeatOrigin.COMMAND_ANSWER, now);
    }
  }

  private void onLaunchDelivery(
      Machine machine,
      long session,
      WorkerCommand.Launch launch,
      CommandDelivery delivery,
      double now) {
    Claim claim = machine.claims.get(launch.task());
    boolean underWay =
        claim != null
            && claim.attempt == launch.attempt()
            && claim.session == session
            && claim.launch == Claim.Launch.DIRECT;
    if (delivery != CommandDelivery.UNKNOWN) {
      machine.unreapableAttempts.remove(AttemptKey.of(launch)); // It can't arrive once more.
    }
    if (!underWay) {
      return;
    }
    claim.launch =
        switch (delivery) {
          case EXECUTED -> Claim.Launch.CONFIRMED;
          case REFUSED, NEVER_LEFT -> Claim.Launch.NONE;
          case UNKNOWN -> Claim.Launch.UNACKNOWLEDGED;
        };
    if (claim.launch == Claim.Launch.NONE && (claim.job.cancelRequested || claim.stopRequested)) {
      records.end(claim, false, now);
    }
  }
}

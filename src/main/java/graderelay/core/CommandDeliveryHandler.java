package graderelay.core;

/**
 * Handles the outcomes of commands that were sent directly to workers. An executed launch is
 * confirmed, a launch that can never be executed is reset, and a launch without a response stays
 * unacknowledged until a heartbeat lists the attempt or a higher term fences the launch.
 */
final class CommandDeliveryHandler {
  private final ClusterState cluster;
  private final StoredRecords records;
  private final HeartbeatHandler heartbeatHandler;

  CommandDeliveryHandler(
      ClusterState cluster, StoredRecords records, HeartbeatHandler heartbeatHandler) {
    this.cluster = cluster;
    this.records = records;
    this.heartbeatHandler = heartbeatHandler;
  }

  /**
   * Handles the outcome of a batch of commands.
   *
   * @param status the status in the worker's response, or null without a response
   */
  void onCommandDelivery(
      Action.SendCommands sentCommands,
      CommandDeliveryOutcome outcome,
      Heartbeat status,
      double now) {
    Machine machine = cluster.machines.get(sentCommands.machine());
    if (machine == null) {
      return;
    }
    boolean workerResponded =
        outcome == CommandDeliveryOutcome.EXECUTED || outcome == CommandDeliveryOutcome.REFUSED;
    machine.consecutiveProbeFailures = workerResponded ? 0 : machine.consecutiveProbeFailures + 1;
    for (WorkerCommand command : sentCommands.commands()) {
      if (command instanceof WorkerCommand.Launch launch) {
        onLaunchDelivery(machine, sentCommands.session(), launch, outcome, now);
      }
    }
    if (status != null && status.machine().equals(sentCommands.machine())) {
      heartbeatHandler.onHeartbeat(status, HeartbeatOrigin.COMMAND_RESPONSE, now);
    }
  }

  private void onLaunchDelivery(
      Machine machine,
      long session,
      WorkerCommand.Launch launch,
      CommandDeliveryOutcome outcome,
      double now) {
    Claim claim = machine.claims.get(launch.task());
    boolean launchInFlight =
        claim != null
            && claim.attempt == launch.attempt()
            && claim.session == session
            && claim.launchState == Claim.LaunchState.DIRECT;
    if (outcome == CommandDeliveryOutcome.REFUSED || outcome == CommandDeliveryOutcome.NEVER_LEFT) {
      machine.directLaunches.onUndeliverable(AttemptKey.of(launch));
    }
    if (!launchInFlight) {
      return;
    }
    claim.launchState =
        switch (outcome) {
          case EXECUTED -> Claim.LaunchState.CONFIRMED;
          case REFUSED, NEVER_LEFT -> Claim.LaunchState.NONE;
          case UNKNOWN -> Claim.LaunchState.UNACKNOWLEDGED;
        };
    if (claim.launchState == Claim.LaunchState.NONE
        && (claim.job.cancelRequested || claim.stopRequested)) {
      records.endClaim(claim, false, now);
    }
  }
}

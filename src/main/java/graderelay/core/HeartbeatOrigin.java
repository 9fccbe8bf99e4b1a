package graderelay.core;

/**
 * How a worker's status reached the leader.
 *
 * @param workerInitiated true for a heartbeat that the worker sent on its own initiative, false for
 *     its response to direct commands
 * @param controller the controller that received such a heartbeat, "" for the leader itself
 */
record HeartbeatOrigin(boolean workerInitiated, String controller) {
  /** The status came in the response to commands that were sent directly to the worker. */
  static final HeartbeatOrigin COMMAND_RESPONSE = new HeartbeatOrigin(false, "");

  /** The worker sent its heartbeat to the given controller. */
  static HeartbeatOrigin workerInitiated(String controller) {
    return new HeartbeatOrigin(true, controller);
  }
}

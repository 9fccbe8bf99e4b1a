package graderelay.core;

/**
 * How a worker's status came to the leader.
 *
 * @param checkIn true for a heartbeat that the worker sent by itself, false for its answer to
 *     worker commands that were sent to it directly
 * @param controller the controller that a check-in came to, "" for the leader itself
 */
record HeartbeatOrigin(boolean checkIn, String controller) {
  /** The worker answered commands that were sent to it directly. */
  static final HeartbeatOrigin COMMAND_ANSWER = new HeartbeatOrigin(false, "");

  /** The worker sent its heartbeat to this controller. */
  static HeartbeatOrigin checkIn(String controller) {
    return new HeartbeatOrigin(true, controller);
  }
}

package graderelay.core;

/** Outcome of sending commands directly to a worker, over a separate connection. */
public enum CommandDeliveryOutcome {
  /** The worker executed the commands. */
  EXECUTED,
  /** The worker refused the commands and executed none of them. */
  REFUSED,
  /** No connection was established, so the commands cannot reach the worker any more. */
  NEVER_LEFT,
  /** No response was received: the worker may still execute the commands, even minutes later. */
  UNKNOWN
}

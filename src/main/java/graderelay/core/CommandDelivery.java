package graderelay.core;

/** How the delivery of worker commands over a connection of their own ended. */
public enum CommandDelivery {
  /** The worker executed them. */
  EXECUTED,
  /** The worker refused them; nothing was executed. */
  REFUSED,
  /** The connection was never made, so they can't arrive any more. */
  NEVER_LEFT,
  /** No answer came: they may still be executed, minutes later. */
  UNKNOWN
}

package graderelay.state;

import graderelay.wire.StateCodec.TermRecord;

/**
 * The range of terms that a controller reserves in the key-value store when it becomes the leader
 * or raises its term there. The leader uses them one after the other, so that it can raise its
 * term, which fences its earlier commands, while the store is unavailable. The last one is never
 * used by a leader: it is higher than any term of the leader's commands, so that worker leases can
 * be renewed under it once the leader is gone and none can be elected.
 */
final class TermReservation {
  /**
   * Number of reserved terms, which last for days at a raise a second. A leader that has used them
   * up reserves further ones.
   */
  private static final int SIZE = 1_000_000;

  private TermReservation() {}

  /** Returns the reservation of a member that starts with this term. */
  static TermRecord from(long firstTerm, String member) {
    return new TermRecord(firstTerm, firstTerm + SIZE - 1, member);
  }
}

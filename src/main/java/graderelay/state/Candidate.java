package graderelay.state;

import graderelay.wire.StateCodec;

/**
 * This controller as a candidate in elections.
 *
 * @param member the name of the controller
 * @param address the address at which its peers reach it
 * @param incarnation distinguishes this process from other processes of the same controller
 */
record Candidate(String member, String address, String incarnation) {
  /** The leader record of this controller for a term. */
  StateCodec.LeaderRecord leaderRecord(long term) {
    return new StateCodec.LeaderRecord(member, term, address);
  }
}

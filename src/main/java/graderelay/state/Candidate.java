package graderelay.state;

import graderelay.wire.StateCodec;

/**
 * This controller as a candidate in elections.
 *
 * @param member the controller's name
 * @param address where its peers reach it
 * @param process tells this process from earlier and later ones of the same controller
 */
record Candidate(String member, String address, String process) {
  /** The leader record that this controller writes under a term. */
  StateCodec.LeaderRecord leaderRecord(long term) {
    return new StateCodec.LeaderRecord(member, term, address);
  }
}

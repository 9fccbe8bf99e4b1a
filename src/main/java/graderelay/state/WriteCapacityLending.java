package graderelay.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Lends part of the leader's write capacity (changes a second to the key-value store) to peers that
 * need more than their usual share, and takes it back bit by bit.
 */
final class WriteCapacityLending {
  /** Times what a peer wrote in the last second that it may write: users come in bursts. */
  private static final double BURST_FACTOR = 2;

  /** Share of the deployment's changes that one peer may have at most. */
  private static final double MAX_PEER_SHARE = 0.25;

  /** Share of what a peer could write that it keeps for the next second when it needs less. */
  private static final double DECAY_PER_SECOND = 0.85;

  /** Share of its own changes that a leader lends at most: claims and ends must go on. */
  private static final double MAX_LENT_SHARE = 0.35;

  private final StateClient state;

  /** Changes a second that each peer may make. */
  private final Map<String, Double> shares = new HashMap<>();

  WriteCapacityLending(StateClient state) {
    this.state = state;
  }

  /** A new leader has lent nothing yet. */
  void begin() {
    shares.clear();
  }

  /** Changes a second that a peer may make at the moment. */
  double shareOf(String peer) {
    return shares.getOrDefault(peer, state.budget().followerChangesPerS());
  }

  /** A peer made, or would have made, so many changes since it was last asked. */
  void wanted(String peer, double changes) {
    double usual = state.budget().followerChangesPerS();
    double maxShare = state.budget().deploymentChangesPerS() * MAX_PEER_SHARE;
    double need = Math.min(maxShare, changes * BURST_FACTOR);
    shares.put(peer, Math.max(usual, Math.max(need, shareOf(peer) * DECAY_PER_SECOND)));
    lendWithinLimit(usual);
  }

  /** Scales all shares down if together they are more than the leader lends at most. */
  private void lendWithinLimit(double usual) {
    double lent = 0;
    for (double share : shares.values()) {
      lent += share - usual;
    }
    double maxLent = state.budget().leaderChangesPerS() * MAX_LENT_SHARE;
    if (lent > maxLent) {
      double scale = maxLent / lent;
      shares.replaceAll((peer, share) -> usual + (share - usual) * scale);
      lent = maxLent;
    }
    state.budget().lend(lent);
  }
}

package graderelay.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Lends the leader's changes a second to peers that need more than their usual share, and takes
 * them back bit by bit.
 */
final class WriteCapacityLending {
  /** Times what a peer wrote in the last second that it may write: users come in bursts. */
  private static final double SHARE_ROOM = 2;

  /** Share of the deployment's changes that one peer may have at most. */
  private static final double MOST_SHARE = 0.25;

  /** Share of what a peer could write that it keeps for the next second when it needs less. */
  private static final double SHARE_KEPT = 0.85;

  /** Share of its own changes that a leader lends at most: claims and ends must go on. */
  private static final double MOST_LENT = 0.35;

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
    double most = state.budget().deploymentChangesPerS() * MOST_SHARE;
    double need = Math.min(most, changes * SHARE_ROOM);
    shares.put(peer, Math.max(usual, Math.max(need, shareOf(peer) * SHARE_KEPT)));
    double lent = 0;
    for (double s : shares.values()) {
      lent += s - usual;
    }
    double mostLent = state.budget().leaderChangesPerS() * MOST_LENT;
    if (lent > mostLent) {
      double scale = mostLent / lent;
      shares.replaceAll((p, s) -> usual + (s - usual) * scale);
      lent = mostLent;
    }
    state.budget().lend(lent);
  }
}

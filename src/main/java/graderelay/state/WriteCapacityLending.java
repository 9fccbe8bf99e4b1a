package graderelay.state;

import graderelay.constants.Constants;
import java.util.HashMap;
import java.util.Map;

/**
 * Lends the leader's changes a second to peers that need more than their usual share, and takes
 * them back bit by bit.
 */
final class WriteCapacityLending {
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
    return shares.getOrDefault(peer, state.usualShare());
  }

  /** A peer made, or would have made, so many changes since it was last asked. */
  void wanted(String peer, double changes) {
    double usual = state.usualShare();
    double most = state.allChanges() * Constants.MOST_SHARE;
    double need = Math.min(most, changes * Constants.SHARE_ROOM);
    shares.put(peer, Math.max(usual, Math.max(need, shareOf(peer) * Constants.SHARE_KEPT)));
    double lent = 0;
    for (double s : shares.values()) {
      lent += s - usual;
    }
    double mostLent = state.ownersChanges() * Constants.MOST_LENT;
    if (lent > mostLent) {
      double scale = mostLent / lent;
      shares.replaceAll((p, s) -> usual + (s - usual) * scale);
      lent = mostLent;
    }
    state.lend(lent);
  }
}

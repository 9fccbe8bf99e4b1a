package graderelay.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Lends part of the leader's write capacity (changes a second to the key-value store) to peers that
 * need more than their default share, and takes it back gradually.
 */
final class WriteCapacityLending {
  /** Ratio of what a peer may write to what it wrote in the last second: load comes in bursts. */
  private static final double BURST_FACTOR = 2;

  /** Largest fraction of the deployment's changes that one peer may have. */
  private static final double MAX_PEER_FRACTION = 0.25;

  /** Fraction of its share that a peer keeps for the next second when it needs less. */
  private static final double RETAINED_FRACTION_PER_SECOND = 0.85;

  /** Largest fraction of its changes that a leader lends; it needs the rest for claims and ends. */
  private static final double MAX_LENT_FRACTION = 0.35;

  private final StateClient stateClient;

  /** Changes a second that each peer may make, by member. */
  private final Map<String, Double> changeRates = new HashMap<>();

  WriteCapacityLending(StateClient stateClient) {
    this.stateClient = stateClient;
  }

  /** Resets the shares when a leader is elected. */
  void reset() {
    changeRates.clear();
  }

  /** Changes a second that a peer may currently make. */
  double changeRateOf(String peer) {
    return changeRates.getOrDefault(peer, stateClient.budget().followerChangesPerS());
  }

  /** Sets the share of a peer by the changes that it made or wanted since the last request. */
  void updateDemand(String peer, double wantedChanges) {
    double defaultChangesPerS = stateClient.budget().followerChangesPerS();
    double maxChangesPerS = stateClient.budget().deploymentChangesPerS() * MAX_PEER_FRACTION;
    double neededChangesPerS = Math.min(maxChangesPerS, wantedChanges * BURST_FACTOR);
    changeRates.put(
        peer,
        Math.max(
            defaultChangesPerS,
            Math.max(neededChangesPerS, changeRateOf(peer) * RETAINED_FRACTION_PER_SECOND)));
    lendWithinLimit(defaultChangesPerS);
  }

  /** Reduces all loans proportionally if together they exceed what the leader may lend. */
  private void lendWithinLimit(double defaultChangesPerS) {
    double lentChangesPerS = 0;
    for (double changesPerS : changeRates.values()) {
      lentChangesPerS += changesPerS - defaultChangesPerS;
    }
    double maxLentChangesPerS = stateClient.budget().leaderChangesPerS() * MAX_LENT_FRACTION;
    if (lentChangesPerS > maxLentChangesPerS) {
      double scale = maxLentChangesPerS / lentChangesPerS;
      changeRates.replaceAll(
          (peer, changesPerS) -> defaultChangesPerS + (changesPerS - defaultChangesPerS) * scale);
      lentChangesPerS = maxLentChangesPerS;
    }
    stateClient.budget().lend(lentChangesPerS);
  }
}

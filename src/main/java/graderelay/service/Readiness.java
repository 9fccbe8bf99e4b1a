package graderelay.service;

import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;

/** Whether this controller can take requests now, and whether a peer would be faster. */
final class Readiness {
  /** Seconds without an answer of the store after which this controller is not ready. */
  private static final double STORE_SILENT_S = 2.5;

  private final Loop loop;
  private final FeatureGate gate;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final MachineTypePoller machineTypes;
  private final RequestHedger requestHedger;

  Readiness(
      Loop loop,
      FeatureGate gate,
      StateClient state,
      Cache cache,
      Leadership leadership,
      MachineTypePoller machineTypes,
      RequestHedger requestHedger) {
    this.loop = loop;
    this.gate = gate;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.machineTypes = machineTypes;
    this.requestHedger = requestHedger;
  }

  /** True if this controller can take requests. */
  boolean ready() {
    if (gate.isClosed()) {
      return false;
    }
    boolean storeAnswers =
        hasRecords() && loop.now() - state.health().lastAnsweredAt() < STORE_SILENT_S;
    // While the store refuses this controller alone, a peer decides on its requests; while the
    // store is away for all, what can be answered is, and the rest is told when to come back.
    return storeAnswers
        || loop.now() - requestHedger.lastHelp() < STORE_SILENT_S
        || (hasRecords() && leadership.isStoreUnavailableToAll());
  }

  private boolean hasRecords() {
    return cache.isLoaded() && machineTypes.current() != null;
  }

  /**
   * True if a peer may take a submission sooner. On the leader claims and ends go first, which only
   * it can write. A follower has a small share of the changes: of a pipeline whose jobs come at
   * once, it can write one or two without waiting, and its peers' shares lie idle meanwhile.
   */
  boolean submissionsWaitHere() {
    return leadership.isLeader()
        ? state.budget().changeTokens().waiting() > 0
        : state.budget().changeTokens().wouldWait(1);
  }
}

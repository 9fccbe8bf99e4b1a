package graderelay.service;

import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.peer.RequestHedger;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;

/**
 * Determines whether this controller can accept requests, and whether a peer could handle a
 * submission sooner.
 */
final class Readiness {
  /** Seconds without a response of the store after which this controller is not ready. */
  private static final double STORE_RESPONSE_TIMEOUT_S = 2.5;

  private final Loop loop;
  private final FeatureGate featureGate;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final MachineTypePoller machineTypePoller;
  private final RequestHedger requestHedger;

  Readiness(
      Loop loop,
      FeatureGate featureGate,
      StateClient state,
      Cache cache,
      Leadership leadership,
      MachineTypePoller machineTypePoller,
      RequestHedger requestHedger) {
    this.loop = loop;
    this.featureGate = featureGate;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.machineTypePoller = machineTypePoller;
    this.requestHedger = requestHedger;
  }

  /** True if this controller can accept requests. */
  boolean isReady() {
    if (featureGate.isClosed()) {
      return false;
    }
    boolean isStoreResponsive =
        isStateLoaded() && loop.now() - state.health().lastAnsweredAt() < STORE_RESPONSE_TIMEOUT_S;
    // While the store rejects only this controller, a peer decides on its requests. While the store
    // is unavailable to all controllers, requests that need no store access are answered, and the
    // others get a response that says when to retry.
    return isStoreResponsive
        || loop.now() - requestHedger.lastHelp() < STORE_RESPONSE_TIMEOUT_S
        || (isStateLoaded() && leadership.isStoreUnavailableToAll());
  }

  private boolean isStateLoaded() {
    return cache.isLoaded() && machineTypePoller.current() != null;
  }

  /**
   * True if a submission would be delayed here, so that a peer may handle it sooner. On the leader,
   * claims and ends of jobs, which only the leader can write, take precedence over submissions. A
   * follower has a small share of the write budget: when all jobs of a pipeline are submitted at
   * once, it can write one or two without waiting, while the shares of its peers are unused.
   */
  boolean wouldDelaySubmission() {
    return leadership.isLeader()
        ? state.budget().changeTokens().waiting() > 0
        : state.budget().changeTokens().wouldWait(1);
  }
}

package graderelay.service;

import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.features.FeatureGate;
import graderelay.features.Member;
import graderelay.features.MemberProbe;
import graderelay.features.UpgradeCoordinator;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the cluster's feature level on this controller: publishes the levels that this process
 * supports, raises and lowers the cluster's level while this controller leads, and requests the
 * shutdown of a process that has been superseded or does not support the cluster's level.
 */
final class FeatureLevelManager {
  /** Seconds between checks of the feature levels. */
  private static final double CHECK_INTERVAL_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final Loop loop;
  private final FeatureGate featureGate;
  private final Cache cache;
  private final MembershipPublisher membershipPublisher;
  private final UpgradeCoordinator coordinator;
  private Consumer<String> onShutdownRequested = reason -> {};
  private String loggedReason;
  private boolean shutdownRequested;
  private boolean closed;
  private Loop.Timer timer;

  /**
   * Creates the manager; it neither publishes nor changes levels if the options do not include the
   * management of feature levels.
   *
   * @param incarnation identifies this process among earlier and later processes of the same
   *     controller
   */
  FeatureLevelManager(
      Loop loop,
      StateClient state,
      Cache cache,
      Leadership leadership,
      PeerClient peerClient,
      Settings settings,
      Options options,
      String incarnation) {
    this.loop = loop;
    this.featureGate = cache.features().gate();
    this.cache = cache;
    if (options.features() == null) {
      this.membershipPublisher = null;
      this.coordinator = null;
      return;
    }
    Member self =
        new Member(
            settings.member(),
            programVersion(),
            options.supported(),
            incarnation,
            loop.wallMs(),
            0);
    this.membershipPublisher =
        new MembershipPublisher(loop, state, cache, self, this::requestShutdown);
    this.coordinator =
        new UpgradeCoordinator(
            featureGate,
            new FeatureLevelStore(state, cache, leadership, settings, loop::wallMs),
            newMemberProbe(peerClient, settings.member()),
            options.features(),
            settings.member(),
            incarnation,
            peerNames(settings),
            loop::now);
  }

  private static List<String> peerNames(Settings settings) {
    List<String> names = new ArrayList<>();
    settings.peers().forEach(peer -> names.add(peer.member()));
    return names;
  }

  private static String programVersion() {
    String version = FeatureLevelManager.class.getPackage().getImplementationVersion();
    return version == null ? "unknown" : version;
  }

  /** Returns a probe that requests the incarnation of a peer's process. */
  private static MemberProbe newMemberProbe(PeerClient peerClient, String self) {
    return (member, done) ->
        peerClient.send(
            peerClient.addressOf(member),
            new PeerRequest.Identify(self),
            PeerCodec::decodeIdentified,
            peerClient.timeoutS(),
            answer -> done.accept(answer == null ? null : answer.incarnation()));
  }

  /** The coordinator of level changes, or null if feature levels are not managed. */
  UpgradeCoordinator coordinator() {
    return coordinator;
  }

  /** Sets the listener that is called once, with the reason, when this process must exit. */
  void onShutdownRequested(Consumer<String> listener) {
    onShutdownRequested = listener;
  }

  /** Checks the feature levels immediately and then periodically. */
  void start() {
    if (closed) {
      return;
    }
    checkRecords();
    if (coordinator != null) {
      coordinator.tick();
    }
    timer = loop.after(CHECK_INTERVAL_S, this::start);
  }

  /** Stops the periodic checks. */
  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Checks the feature level records; must be called after each change to them. */
  void checkRecords() {
    if (!cache.isElectionLoaded() || shutdownRequested) {
      return;
    }
    String reason = featureGate.notOpenReason();
    if (reason != null && featureGate.isOutdated()) {
      requestShutdown(reason);
    } else if (reason != null && !reason.equals(loggedReason)) {
      // The process keeps running: if it exited, it would be restarted in a loop without effect.
      LOG.error("this controller does not take part in the cluster: {}", reason);
    }
    loggedReason = reason;
    if (membershipPublisher != null) {
      membershipPublisher.checkRecord();
    }
  }

  private void requestShutdown(String reason) {
    if (!shutdownRequested) {
      shutdownRequested = true;
      featureGate.closePermanently(reason);
      LOG.error("this controller leaves the cluster: {}", reason);
      onShutdownRequested.accept(reason);
    }
  }
}

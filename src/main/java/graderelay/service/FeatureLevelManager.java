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
 * This controller's part in the cluster's feature level: publishes the levels that it supports,
 * raises and lowers the cluster's level while it leads, and has the process leave if the cluster
 * has gone on without it.
 */
final class FeatureLevelManager {
  /** Seconds between checks of the feature levels. */
  private static final double CHECK_INTERVAL_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final Loop loop;
  private final FeatureGate gate;
  private final Cache cache;
  private final MembershipPublisher publisher;
  private final UpgradeCoordinator coordinator;
  private Consumer<String> onLeave = why -> {};
  private String refusedBecause;
  private boolean left;
  private boolean closed;
  private Loop.Timer timer;

  /**
   * Makes the manager; it neither publishes nor raises anything if the options leave feature levels
   * alone.
   *
   * @param incarnation tells this process from earlier and later ones of the same controller
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
    this.gate = cache.features().gate();
    this.cache = cache;
    if (options.features() == null) {
      this.publisher = null;
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
    this.publisher = new MembershipPublisher(loop, state, cache, self, this::leave);
    this.coordinator =
        new UpgradeCoordinator(
            gate,
            new FeatureLevelStore(state, cache, leadership, settings, loop::wallMs),
            probe(peerClient, settings.member()),
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

  /** Asks a peer which process it is. */
  private static MemberProbe probe(PeerClient peerClient, String self) {
    return (member, done) ->
        peerClient.send(
            peerClient.addressOf(member),
            new PeerRequest.Identify(self),
            PeerCodec::decodeIdentified,
            peerClient.timeoutS(),
            answer -> done.accept(answer == null ? null : answer.incarnation()));
  }

  /**
   * What raises and lowers the level on the leader, or null where feature levels are left alone.
   */
  UpgradeCoordinator coordinator() {
    return coordinator;
  }

  /** Hears why this process has to end, once. */
  void onLeave(Consumer<String> listener) {
    onLeave = listener;
  }

  /** Checks the levels now and then at every interval. */
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

  /** Stops the checks. */
  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Checks the records; to be called after each change of them. */
  void checkRecords() {
    if (!cache.isElectionLoaded() || left) {
      return;
    }
    String why = gate.notOpenReason();
    if (why != null && gate.isOutdated()) {
      leave(why);
    } else if (why != null && !why.equals(refusedBecause)) {
      // The process stays: if it ended, it would be restarted again and again to no avail.
      LOG.error("this controller does not take part: {}", why);
    }
    refusedBecause = why;
    if (publisher != null) {
      publisher.checkRecord();
    }
  }

  private void leave(String why) {
    if (!left) {
      left = true;
      gate.closePermanently(why);
      LOG.error("this controller leaves: {}", why);
      onLeave.accept(why);
    }
  }
}

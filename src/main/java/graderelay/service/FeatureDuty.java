package graderelay.service;

import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.features.ClusterStore;
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
 * This controller's part in the cluster's feature level: publishes what it supports, raises and
 * lowers the level while it leads, and leaves when the cluster has gone on without it.
 */
final class FeatureDuty {
  /** Seconds between looks at feature levels. */
  private static final double FEATURE_LOOK_EVERY_S = 1;

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final Loop loop;
  private final FeatureGate gate;
  private final Cache cache;
  private final Membership membership;
  private final UpgradeCoordinator coordinator;
  private Consumer<String> onLeave = why -> {};
  private String refusedBecause;
  private boolean left;
  private boolean closed;
  private Loop.Timer timer;

  FeatureDuty(
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
    ClusterStore store = new FeatureStore(state, cache, leadership, settings, loop::wallMs);
    List<String> peers = new ArrayList<>();
    settings.peers().forEach(p -> peers.add(p.member()));
    Member self =
        new Member(
            settings.member(),
            programVersion(),
            options.supported(),
            incarnation,
            loop.wallMs(),
            0);
    boolean on = options.features() != null;
    this.membership = on ? new Membership(loop, state, cache, self, this::leave) : null;
    this.coordinator =
        on
            ? new UpgradeCoordinator(
                gate,
                store,
                probe(peerClient, settings.member()),
                options.features(),
                settings.member(),
                incarnation,
                peers,
                loop::now)
            : null;
  }

  private static String programVersion() {
    String version = FeatureDuty.class.getPackage().getImplementationVersion();
    return version == null ? "unknown" : version;
  }

  private static MemberProbe probe(PeerClient peerClient, String self) {
    return (member, done) ->
        peerClient.send(
            peerClient.addressOf(member),
            new PeerRequest.Identify(self),
            PeerCodec::decodeIdentified,
            peerClient.timeoutS(),
            answer -> done.accept(answer == null ? null : answer.incarnation()));
  }

  /** The leader's duty, or null where feature levels are left alone. */
  UpgradeCoordinator coordinator() {
    return coordinator;
  }

  /** Hears why this process has to end, once. */
  void onLeave(Consumer<String> listener) {
    onLeave = listener;
  }

  void start() {
    if (closed) {
      return;
    }
    look();
    if (coordinator != null) {
      coordinator.tick();
    }
    timer = loop.after(FEATURE_LOOK_EVERY_S, this::start);
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Looks at the records; to be called after each change of them. */
  void look() {
    if (!cache.electionLoaded() || left) {
      return;
    }
    String why = gate.closedBecause();
    if (why != null && gate.overtaken()) {
      leave(why);
    } else if (why != null && !why.equals(refusedBecause)) {
      // It stays as it is: ended, it would be started again and again to no avail.
      LOG.error("this controller does not take part: {}", why);
    }
    refusedBecause = why;
    if (membership != null) {
      membership.look();
    }
  }

  private void leave(String why) {
    if (!left) {
      left = true;
      gate.leave(why);
      LOG.error("this controller leaves: {}", why);
      onLeave.accept(why);
    }
  }
}

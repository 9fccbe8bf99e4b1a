package graderelay.service;

import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.Transport;
import io.micrometer.core.instrument.Tags;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process: starts and ends its parts, and is where requests of users, workers,
 * operators and peers arrive. It knows no sockets, so tests run several at once.
 */
public final class ControllerNode {
  /** Seconds between ticks of the core. */
  static final double TICK_S = 0.25;

  private static final Logger LOG = LoggerFactory.getLogger("node");

  private final ControllerParts parts;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** A controller for which everything that options switch on is off. */
  public ControllerNode(Loop loop, Transport transport, Settings settings, RandomGenerator random) {
    this(loop, transport, settings, Options.defaults(), random);
  }

  /**
   * A controller of the given settings; nothing starts before {@link #start}.
   *
   * @param options switches features on that this process supports
   */
  public ControllerNode(
      Loop loop, Transport transport, Settings settings, Options options, RandomGenerator random) {
    this.parts = new ControllerParts(loop, transport, settings, options, random);
  }

  // ---------------------------------------------------------------- start and end

  /** Tells where the numbers of open connections come from, to show them to operators. */
  public void watchConnections(IntSupplier in, IntSupplier out) {
    parts.metrics.gauge("graderelay.connections", Tags.of("direction", "in"), m -> in.getAsInt());
    parts.metrics.gauge("graderelay.connections", Tags.of("direction", "out"), m -> out.getAsInt());
  }

  /** Hears why this process has to end, if the cluster has gone on without it. */
  public void onLeave(Consumer<String> listener) {
    parts.features.onLeave(listener);
  }

  /** Starts metrics, the records' watch, features, machine types, lease delegation and ticks. */
  public void start() {
    LOG.info("{} starts in zone {}", parts.settings.member(), parts.settings.zone());
    startMetrics();
    parts.cache.start();
    parts.features.start();
    parts.machineTypes.start();
    parts.leaseDelegate.start();
    tick();
  }

  private void startMetrics() {
    parts.metrics.bucket("state requests", parts.state.budget().requestTokens());
    parts.metrics.bucket("state changes", parts.state.budget().changeTokens());
    parts.metrics.bucket("cloud", parts.cloud.tokens());
    parts.metrics.readings(parts.quotaMonitor::readings);
    parts.metrics.start();
    parts.metrics.gauge(
        "graderelay.feature.level",
        Tags.of("what", "finalized"),
        m -> parts.gate.current().level());
    parts.metrics.gauge(
        "graderelay.feature.level",
        Tags.of("what", "supported"),
        m -> parts.gate.supported().max());
  }

  /** Ends what {@link #start} has started, the leader's term first. */
  public void close() {
    closed = true;
    parts.leaderLifecycle.close();
    parts.leaseDelegate.close();
    parts.features.close();
    parts.leadership.close();
    parts.metrics.close();
    parts.cache.close();
    parts.machineTypes.close();
    if (tickTimer != null) {
      tickTimer.cancel();
    }
  }

  // ---------------------------------------------------------------- events

  private void tick() {
    if (closed) {
      return;
    }
    parts.leadership.tick();
    tickTimer = parts.loop.schedule(TICK_S, this::tick);
  }

  /** Requests of users, workers, operators and the load balancer. */
  public void handle(Exchange exchange) {
    parts.router.handle(exchange);
  }

  /** Requests of the other controllers. */
  public void handlePeer(Exchange exchange) {
    parts.peerApi.handle(exchange);
  }

  // ---------------------------------------------------------------- status

  /** True if this controller can take requests. */
  public boolean ready() {
    return parts.readiness.ready();
  }

  /** True while this controller is the leader. */
  public boolean leader() {
    return parts.leadership.isLeader();
  }

  /** True while this controller may answer workers for all controllers. */
  public boolean speaks() {
    return parts.leadership.mayActAsLeader();
  }

  /** The core while this controller runs a leader term, else null. */
  public Scheduler core() {
    return parts.leaderLifecycle.core();
  }
}

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
  static final double TICK_INTERVAL_S = 0.25;

  private static final Logger LOG = LoggerFactory.getLogger("node");

  private final ControllerComponents components;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** A controller for which everything that options switch on is off. */
  public ControllerNode(Loop loop, Transport transport, Settings settings, RandomGenerator random) {
    this(loop, transport, settings, Options.none(), random);
  }

  /**
   * A controller of the given settings; nothing starts before {@link #start}.
   *
   * @param options switches features on that this process supports
   */
  public ControllerNode(
      Loop loop, Transport transport, Settings settings, Options options, RandomGenerator random) {
    this.components = new ControllerComponents(loop, transport, settings, options, random);
  }

  // ---------------------------------------------------------------- start and end

  /** Tells where the numbers of open connections come from, to show them to operators. */
  public void registerConnectionGauges(IntSupplier inbound, IntSupplier outbound) {
    components.metrics.registerGauge(
        "graderelay.connections", Tags.of("direction", "in"), m -> inbound.getAsInt());
    components.metrics.registerGauge(
        "graderelay.connections", Tags.of("direction", "out"), m -> outbound.getAsInt());
  }

  /** Hears why this process has to end, if the cluster has gone on without it. */
  public void onShutdownRequested(Consumer<String> listener) {
    components.featureLevelManager.onShutdownRequested(listener);
  }

  /** Starts metrics, the records' watch, features, machine types, lease delegation and ticks. */
  public void start() {
    LOG.info("{} starts in zone {}", components.settings.member(), components.settings.zone());
    startMetrics();
    components.cache.start();
    components.featureLevelManager.start();
    components.machineTypePoller.start();
    components.leaseDelegate.start();
    tick();
  }

  private void startMetrics() {
    components.metrics.registerTokenBucket(
        "state requests", components.state.budget().requestTokens());
    components.metrics.registerTokenBucket(
        "state changes", components.state.budget().changeTokens());
    components.metrics.registerTokenBucket("cloud", components.cloudClient.tokens());
    components.metrics.sampleSuppliers(components.quotaMonitor::samples);
    components.metrics.start();
    components.metrics.registerGauge(
        "graderelay.feature.level",
        Tags.of("what", "finalized"),
        m -> components.featureGate.current().level());
    components.metrics.registerGauge(
        "graderelay.feature.level",
        Tags.of("what", "supported"),
        m -> components.featureGate.supported().max());
  }

  /** Ends what {@link #start} has started, the leader's term first. */
  public void close() {
    closed = true;
    components.leaderLifecycle.close();
    components.leaseDelegate.close();
    components.featureLevelManager.close();
    components.leadership.close();
    components.metrics.close();
    components.cache.close();
    components.machineTypePoller.close();
    if (tickTimer != null) {
      tickTimer.cancel();
    }
  }

  // ---------------------------------------------------------------- events

  private void tick() {
    if (closed) {
      return;
    }
    components.leadership.tick();
    tickTimer = components.loop.after(TICK_INTERVAL_S, this::tick);
  }

  /** Requests of users, workers, operators and the load balancer. */
  public void handle(Exchange exchange) {
    components.router.handle(exchange);
  }

  /** Requests of the other controllers. */
  public void handlePeer(Exchange exchange) {
    components.peerApi.handle(exchange);
  }

  // ---------------------------------------------------------------- status

  /** True if this controller can take requests. */
  public boolean isReady() {
    return components.readiness.isReady();
  }

  /** True while this controller is the leader. */
  public boolean isLeader() {
    return components.leadership.isLeader();
  }

  /** True while this controller may answer workers for all controllers. */
  public boolean mayActAsLeader() {
    return components.leadership.mayActAsLeader();
  }

  /** The core while this controller runs a leader term, else null. */
  public Scheduler core() {
    return components.leaderLifecycle.core();
  }
}

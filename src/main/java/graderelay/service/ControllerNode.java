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
 * One controller process: starts and stops its components, and receives the requests of users,
 * workers, operators and peers. It opens no sockets, so that a test can run several controllers in
 * one process.
 */
public final class ControllerNode {
  /** Seconds between ticks of leader election and of the scheduler core. */
  static final double TICK_INTERVAL_S = 0.25;

  private static final Logger LOG = LoggerFactory.getLogger("node");

  private final ControllerComponents components;
  private Loop.Timer tickTimer;
  private boolean closed;

  /** Creates a controller with all optional features disabled. */
  public ControllerNode(Loop loop, Transport transport, Settings settings, RandomGenerator random) {
    this(loop, transport, settings, Options.defaults(), random);
  }

  /**
   * Creates a controller with the given settings; it is idle until {@link #start}.
   *
   * @param options the optional features that this process supports
   */
  public ControllerNode(
      Loop loop, Transport transport, Settings settings, Options options, RandomGenerator random) {
    this.components = new ControllerComponents(loop, transport, settings, options, random);
  }

  // ---------------------------------------------------------------- lifecycle

  /** Registers gauges of the numbers of open inbound and outbound connections. */
  public void registerConnectionGauges(IntSupplier inbound, IntSupplier outbound) {
    components.metrics.registerGauge(
        "graderelay.connections", Tags.of("direction", "in"), m -> inbound.getAsInt());
    components.metrics.registerGauge(
        "graderelay.connections", Tags.of("direction", "out"), m -> outbound.getAsInt());
  }

  /**
   * Sets the listener that is called with the reason if this process must exit because the cluster
   * has replaced it or uses features that it does not support.
   */
  public void onShutdownRequested(Consumer<String> listener) {
    components.featureLevelManager.onShutdownRequested(listener);
  }

  /**
   * Starts metrics, the watch of the stored records, feature level checks, polling of machine
   * types, lease delegation and ticks.
   */
  public void start() {
    LOG.info(
        "controller {} is starting in zone {}",
        components.settings.member(),
        components.settings.zone());
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
    components.metrics.registerTokenBucket("cloud", components.cloudClient.tokenBucket());
    components.metrics.addSampleSupplier(components.quotaMonitor::samples);
    components.metrics.start();
    components.metrics.registerGauge(
        "graderelay.leader.without.scheduler.seconds",
        Tags.empty(),
        m -> components.leaderLifecycle.withoutSchedulerS());
    components.metrics.registerGauge(
        "graderelay.feature.level",
        Tags.of("what", "finalized"),
        m -> components.featureGate.current().level());
    components.metrics.registerGauge(
        "graderelay.feature.level",
        Tags.of("what", "supported"),
        m -> components.featureGate.supported().max());
  }

  /** Stops everything that {@link #start} started, the leader term first. */
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
    try {
      components.leadership.tick();
      components.leaderLifecycle.tick();
    } finally {
      tickTimer = components.loop.schedule(TICK_INTERVAL_S, this::tick);
    }
  }

  /** Handles a request of a user, a worker, an operator or the load balancer. */
  public void handle(Exchange exchange) {
    components.router.handle(exchange);
  }

  /** Handles a request of another controller. */
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

  /** True while this controller may act as the leader. */
  public boolean mayActAsLeader() {
    return components.leadership.mayActAsLeader();
  }

  /** The scheduler core of the current leader term, or null while there is none. */
  public Scheduler core() {
    return components.leaderLifecycle.core();
  }
}

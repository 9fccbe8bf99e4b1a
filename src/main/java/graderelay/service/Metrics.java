package graderelay.service;

import graderelay.core.Scheduler;
import graderelay.net.Loop;
import graderelay.net.TokenBucket;
import io.micrometer.core.instrument.Tag;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/**
 * The metrics of this process. They are collected in plain maps, and a meter registry is created
 * only at the first scrape, because it takes start-up time and memory that matter on a small
 * machine.
 */
public final class Metrics {
  /** Seconds between measurements of the event loop's delay. */
  private static final double LOOP_DELAY_PROBE_INTERVAL_S = 1;

  /** The maximum number of durations that are buffered until the first scrape. */
  private static final int MAX_BUFFERED_DURATIONS = 256;

  private static final double NANOS_PER_SECOND = 1e9;

  /** A gauge whose value is read at each scrape. */
  private record RegisteredGauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {}

  /** One value at a scrape, from a set of values that may change between scrapes. */
  record Sample(String name, Tags tags, double value) {}

  /** A duration that is buffered until the registry exists. */
  private record MeasuredDuration(String name, double seconds) {}

  private final Loop loop;
  private final Map<String, Long> counters = new HashMap<>();
  private final List<RegisteredGauge> gauges = new ArrayList<>();
  private final List<Supplier<List<Sample>>> sampleSuppliers = new ArrayList<>();
  private final List<MeasuredDuration> bufferedDurations = new ArrayList<>();
  private final Set<Tags> reportedMachineTags = new HashSet<>();

  /** The current values of gauges that are set at each scrape, by metric name and tag values. */
  private final Map<String, double[]> gaugeCells = new HashMap<>();

  private PrometheusMeterRegistry registry;
  private boolean closed;

  /** Creates the metrics; the event loop's delay is not measured before {@link #start}. */
  public Metrics(Loop loop) {
    this.loop = loop;
  }

  /** Starts to measure the event loop's delay. */
  public void start() {
    double expectedAt = loop.now() + LOOP_DELAY_PROBE_INTERVAL_S;
    loop.schedule(
        LOOP_DELAY_PROBE_INTERVAL_S,
        () -> {
          recordDuration("graderelay.loop.delay", Math.max(0, loop.now() - expectedAt));
          if (!closed) {
            start();
          }
        });
  }

  /** Stops measuring the event loop's delay. */
  public void close() {
    closed = true;
  }

  /** Increments the counter of a metric with one tag. */
  public void count(String name, String tag, String value) {
    counters.merge(name + "|" + tag + "|" + value, 1L, Long::sum);
  }

  /** Records a duration in seconds; published as a distribution. */
  public void recordDuration(String name, double seconds) {
    if (registry != null) {
      recordInTimer(name, seconds);
    } else if (bufferedDurations.size() < MAX_BUFFERED_DURATIONS) {
      bufferedDurations.add(new MeasuredDuration(name, seconds));
    }
  }

  private void recordInTimer(String name, double seconds) {
    Timer.builder(name)
        .publishPercentileHistogram(false)
        .register(registry)
        .record((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
  }

  /** Registers a gauge that is read at each scrape. */
  void registerGauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {
    gauges.add(new RegisteredGauge(name, tags, value));
  }

  /** Registers a supplier of samples that is called at each scrape. */
  void addSampleSupplier(Supplier<List<Sample>> supplier) {
    sampleSuppliers.add(supplier);
  }

  /** Registers gauges of the requests that wait for tokens of a bucket. */
  void registerTokenBucket(String name, TokenBucket bucket) {
    Tags tags = Tags.of("bucket", name);
    registerGauge("graderelay.tokens.waiting", tags, m -> bucket.waiting());
    registerGauge("graderelay.tokens.refused", tags, m -> bucket.refusedCount());
    registerGauge("graderelay.tokens.waited.seconds", tags, m -> bucket.totalWaitS());
  }

  /**
   * Returns the metrics in the Prometheus text format.
   *
   * @param callsByService the number of calls to each service by outcome
   * @param core the scheduler core of the leader term, or null on a follower
   */
  public String scrape(Map<String, Map<String, Long>> callsByService, Scheduler core) {
    if (registry == null) {
      createRegistry();
    }
    updateCallGauges(callsByService);
    counters.forEach(
        (key, count) -> {
          String[] keyParts = key.split("\\|", 3);
          setGauge(keyParts[0], Tags.of(keyParts[1], keyParts[2]), count);
        });
    sampleSuppliers.forEach(
        supplier ->
            supplier
                .get()
                .forEach(sample -> setGauge(sample.name(), sample.tags(), sample.value())));
    if (core != null) {
      updateMachineGauges(core);
      updateUnmetDemandGauges(core);
      updateWaitingJobGauges(core);
    }
    return registry.scrape();
  }

  /** Creates the registry, registers the gauges and records the buffered durations. */
  private void createRegistry() {
    registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    for (RegisteredGauge gauge : gauges) {
      registry.gauge(gauge.name(), gauge.tags(), this, gauge.value());
    }
    registry.gauge("graderelay.heap.bytes", Runtime.getRuntime(), Metrics::usedHeapBytes);
    bufferedDurations.forEach(duration -> recordInTimer(duration.name(), duration.seconds()));
    bufferedDurations.clear();
  }

  private void updateCallGauges(Map<String, Map<String, Long>> callsByService) {
    callsByService.forEach(
        (service, byOutcome) ->
            byOutcome.forEach(
                (outcome, count) ->
                    setGauge(
                        "graderelay.calls", Tags.of("service", service, "call", outcome), count)));
  }

  /**
   * Counts machines by type, kind and state. A combination that was reported before is set to zero
   * when it no longer occurs.
   */
  private void updateMachineGauges(Scheduler core) {
    Map<String, Long> machineCounts = new HashMap<>();
    for (Scheduler.MachineView machine : core.machines(loop.now())) {
      String kind = machine.spot() ? "spot" : "ordinary";
      machineCounts.merge(machine.type() + "|" + kind + "|" + machine.state(), 1L, Long::sum);
    }
    reportedMachineTags.forEach(tags -> setGauge("graderelay.fleet", tags, 0));
    machineCounts.forEach(
        (key, count) -> {
          String[] keyParts = key.split("\\|", 3);
          Tags tags = Tags.of("type", keyParts[0], "kind", keyParts[1], "state", keyParts[2]);
          reportedMachineTags.add(tags);
          setGauge("graderelay.fleet", tags, count);
        });
  }

  /** Reports the waiting tasks for which the leader's last fleet plan requested no machine. */
  private void updateUnmetDemandGauges(Scheduler core) {
    core.unmetTasksByCause()
        .forEach(
            (cause, tasks) -> setGauge("graderelay.demand.unmet", Tags.of("cause", cause), tasks));
  }

  /**
   * Reports the waiting jobs by why the leader's last placement round placed none of their tasks.
   */
  private void updateWaitingJobGauges(Scheduler core) {
    core.waitingJobsByCause()
        .forEach(
            (cause, jobs) -> setGauge("graderelay.waiting.jobs", Tags.of("cause", cause), jobs));
  }

  /**
   * Sets a gauge to a value. The gauge is registered once and reads its value from an array cell,
   * which is reused.
   */
  private void setGauge(String name, Tags tags, double value) {
    StringBuilder key = new StringBuilder(name);
    for (Tag tag : tags) {
      key.append('|').append(tag.getValue());
    }
    double[] gaugeCell = gaugeCells.get(key.toString());
    if (gaugeCell == null) {
      gaugeCell = new double[1];
      gaugeCells.put(key.toString(), gaugeCell);
      registry.gauge(name, tags, gaugeCell, values -> values[0]);
    }
    gaugeCell[0] = value;
  }

  private static double usedHeapBytes(Runtime runtime) {
    return runtime.totalMemory() - runtime.freeMemory();
  }
}

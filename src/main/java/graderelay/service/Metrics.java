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
 * Numbers for operators. They are counted in plain maps and only become meters when somebody asks:
 * a registry costs start-up time and memory that a small machine has better use for.
 */
public final class Metrics {
  /** Seconds between measurements of how late the event loop is. */
  private static final double LOOP_DELAY_PROBE_INTERVAL_S = 1;

  /** Measured times kept until somebody reads the metrics for the first time. */
  private static final int MAX_BUFFERED_DURATIONS = 256;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Something whose present value is asked for. */
  private record RegisteredGauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {}

  /** A value of the moment, of a set that may change from one time to the next. */
  record Sample(String name, Tags tags, double value) {}

  /** How long something took, kept until there is a registry. */
  private record MeasuredDuration(String name, double seconds) {}

  private final Loop loop;
  private final Map<String, Long> counters = new HashMap<>();
  private final List<RegisteredGauge> gauges = new ArrayList<>();
  private final List<Supplier<List<Sample>>> sampleSuppliers = new ArrayList<>();
  private final List<MeasuredDuration> bufferedDurations = new ArrayList<>();
  private final Set<Tags> reportedMachineTags = new HashSet<>();

  /** Cells that gauges of passing values read, by name and tag values. */
  private final Map<String, double[]> gaugeCells = new HashMap<>();

  private PrometheusMeterRegistry registry;
  private boolean closed;

  /** Makes the counters; nothing is measured before {@link #start}. */
  public Metrics(Loop loop) {
    this.loop = loop;
  }

  /** Starts to measure how late the event loop is. */
  public void start() {
    double expectedAt = loop.now() + LOOP_DELAY_PROBE_INTERVAL_S;
    loop.after(
        LOOP_DELAY_PROBE_INTERVAL_S,
        () -> {
          recordDuration("graderelay.loop.delay", Math.max(0, loop.now() - expectedAt));
          if (!closed) {
            start();
          }
        });
  }

  /** Stops the measurement of the loop's delay. */
  public void close() {
    closed = true;
  }

  /** Counts one event of a metric, with one tag and its value. */
  public void count(String name, String tag, String value) {
    counters.merge(name + "|" + tag + "|" + value, 1L, Long::sum);
  }

  /** Measures how long something took, in seconds; shown as a distribution. */
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

  /** Shows a value that is asked for each time that somebody reads the metrics. */
  void registerGauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {
    gauges.add(new RegisteredGauge(name, tags, value));
  }

  /** Values that are asked for each time that somebody reads the metrics. */
  void sampleSuppliers(Supplier<List<Sample>> supplier) {
    sampleSuppliers.add(supplier);
  }

  /** Shows how requests wait for the tokens of a bucket. */
  void registerTokenBucket(String name, TokenBucket bucket) {
    Tags tags = Tags.of("bucket", name);
    registerGauge("graderelay.tokens.waiting", tags, m -> bucket.waiting());
    registerGauge("graderelay.tokens.refused", tags, m -> bucket.refused());
    registerGauge("graderelay.tokens.waited.seconds", tags, m -> bucket.waitedSeconds());
  }

  /**
   * The text that a Prometheus server reads.
   *
   * @param calls outcomes of calls to each service, counted by outcome
   * @param core the leader's core, or null on a follower
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
            supplier.get().forEach(value -> setGauge(value.name(), value.tags(), value.value())));
    if (core != null) {
      updateMachineGauges(core);
    }
    return registry.scrape();
  }

  /** Registers the gauges, and the times that were measured before anybody asked. */
  private void createRegistry() {
    registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    for (RegisteredGauge supplier : gauges) {
      registry.gauge(supplier.name(), supplier.tags(), this, supplier.value());
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

  /** Counts machines by type, kind and state; a combination that was shown once stays, as zero. */
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

  /** Shows the value of the moment; its gauge is registered once and reads the same cell again. */
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

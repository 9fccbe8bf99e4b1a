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
  private static final double DELAY_PROBE_S = 1;

  /** Measured times kept until somebody reads the metrics for the first time. */
  private static final int MOST_UNREAD_SPANS = 256;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Something whose present value is asked for. */
  private record Source(String name, Tags tags, ToDoubleFunction<Metrics> value) {}

  /** A value of the moment, of a set that may change from one time to the next. */
  record Reading(String name, Tags tags, double value) {}

  /** How long something took, kept until there is a registry. */
  private record Span(String name, double seconds) {}

  private final Loop loop;
  private final Map<String, Long> counts = new HashMap<>();
  private final List<Source> sources = new ArrayList<>();
  private final List<Supplier<List<Reading>>> readings = new ArrayList<>();
  private final List<Span> unread = new ArrayList<>();
  private final Set<Tags> fleetTags = new HashSet<>();

  /** Cells that gauges of passing values read, by name and tag values. */
  private final Map<String, double[]> shown = new HashMap<>();

  private PrometheusMeterRegistry registry;
  private boolean closed;

  /** Makes the counters; nothing is measured before {@link #start}. */
  public Metrics(Loop loop) {
    this.loop = loop;
  }

  /** Starts to measure how late the event loop is. */
  public void start() {
    double due = loop.now() + DELAY_PROBE_S;
    loop.schedule(
        DELAY_PROBE_S,
        () -> {
          span("graderelay.loop.delay", Math.max(0, loop.now() - due));
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
    counts.merge(name + "|" + tag + "|" + value, 1L, Long::sum);
  }

  /** Measures how long something took, in seconds; shown as a distribution. */
  public void span(String name, double seconds) {
    if (registry != null) {
      record(name, seconds);
    } else if (unread.size() < MOST_UNREAD_SPANS) {
      unread.add(new Span(name, seconds));
    }
  }

  private void record(String name, double seconds) {
    Timer.builder(name)
        .publishPercentileHistogram(false)
        .register(registry)
        .record((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
  }

  /** Shows a value that is asked for each time that somebody reads the metrics. */
  void gauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {
    sources.add(new Source(name, tags, value));
  }

  /** Values that are asked for each time that somebody reads the metrics. */
  void readings(Supplier<List<Reading>> source) {
    readings.add(source);
  }

  /** Shows how requests wait for the tokens of a bucket. */
  void bucket(String name, TokenBucket bucket) {
    Tags tags = Tags.of("bucket", name);
    gauge("graderelay.tokens.waiting", tags, m -> bucket.waiting());
    gauge("graderelay.tokens.refused", tags, m -> bucket.refusedCount());
    gauge("graderelay.tokens.waited.seconds", tags, m -> bucket.totalWaitS());
  }

  /**
   * The text that a Prometheus server reads.
   *
   * @param calls outcomes of calls to each service, counted by outcome
   * @param core the leader's core, or null on a follower
   */
  public String scrape(Map<String, Map<String, Long>> calls, Scheduler core) {
    if (registry == null) {
      makeRegistry();
    }
    showCalls(calls);
    counts.forEach(
        (key, count) -> {
          String[] parts = key.split("\\|", 3);
          show(parts[0], Tags.of(parts[1], parts[2]), count);
        });
    readings.forEach(
        source -> source.get().forEach(value -> show(value.name(), value.tags(), value.value())));
    if (core != null) {
      showMachines(core);
    }
    return registry.scrape();
  }

  /** Registers the gauges, and the times that were measured before anybody asked. */
  private void makeRegistry() {
    registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    for (Source source : sources) {
      registry.gauge(source.name(), source.tags(), this, source.value());
    }
    registry.gauge("graderelay.heap.bytes", Runtime.getRuntime(), Metrics::usedBytes);
    unread.forEach(span -> record(span.name(), span.seconds()));
    unread.clear();
  }

  private void showCalls(Map<String, Map<String, Long>> calls) {
    calls.forEach(
        (service, byOutcome) ->
            byOutcome.forEach(
                (outcome, count) ->
                    show("graderelay.calls", Tags.of("service", service, "call", outcome), count)));
  }

  /** Counts machines by type, kind and state; a combination that was shown once stays, as zero. */
  private void showMachines(Scheduler core) {
    Map<String, Long> machines = new HashMap<>();
    for (Scheduler.MachineView machine : core.machines(loop.now())) {
      String kind = machine.spot() ? "spot" : "ordinary";
      machines.merge(machine.type() + "|" + kind + "|" + machine.state(), 1L, Long::sum);
    }
    fleetTags.forEach(tags -> show("graderelay.fleet", tags, 0));
    machines.forEach(
        (key, count) -> {
          String[] parts = key.split("\\|", 3);
          Tags tags = Tags.of("type", parts[0], "kind", parts[1], "state", parts[2]);
          fleetTags.add(tags);
          show("graderelay.fleet", tags, count);
        });
  }

  /** Shows the value of the moment; its gauge is registered once and reads the same cell again. */
  private void show(String name, Tags tags, double value) {
    StringBuilder key = new StringBuilder(name);
    for (Tag tag : tags) {
      key.append('|').append(tag.getValue());
    }
    double[] cell = shown.get(key.toString());
    if (cell == null) {
      cell = new double[1];
      shown.put(key.toString(), cell);
      registry.gauge(name, tags, cell, values -> values[0]);
    }
    cell[0] = value;
  }

  private static double usedBytes(Runtime runtime) {
    return runtime.totalMemory() - runtime.freeMemory();
  }
}

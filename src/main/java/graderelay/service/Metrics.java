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
import java.util.List;
import java.util.Map;
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

  /** Something whose present value is asked for. */
  private record Source(String name, Tags tags, ToDoubleFunction<Metrics> value) {}

  /** A value of the moment; which there are may change. */
  record Reading(String name, Tags tags, double value) {}

  private record Span(String name, double seconds) {}

  private final Loop loop;
  private final Map<String, Long> counts = new HashMap<>();
  private final List<Source> sources = new ArrayList<>();
  private final List<Supplier<List<Reading>>> readings = new ArrayList<>();
  private final List<Span> unread = new ArrayList<>();
  private PrometheusMeterRegistry registry;
  private boolean closed;

  /** Makes the counters; nothing is measured before {@link #start}. */
  public Metrics(Loop loop) {
    this.loop = loop;
  }

  /** Starts to measure how late the event loop is. */
  public void start() {
    double due = loop.now() + DELAY_PROBE_S;
    loop.after(
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

  /** How long something took, in seconds; shown as a distribution. */
  public void span(String name, double seconds) {
    if (registry != null) {
      timer(name).record((long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    } else if (unread.size() < MOST_UNREAD_SPANS) {
      unread.add(new Span(name, seconds));
    }
  }

  private Timer timer(String name) {
    return Timer.builder(name).publishPercentileHistogram(false).register(registry);
  }

  void gauge(String name, Tags tags, ToDoubleFunction<Metrics> value) {
    sources.add(new Source(name, tags, value));
  }

  /** Values that are asked for each time that somebody reads the metrics. */
  void readings(Supplier<List<Reading>> source) {
    readings.add(source);
  }

  void bucket(String name, TokenBucket b) {
    Tags t = Tags.of("bucket", name);
    gauge("graderelay.tokens.waiting", t, m -> b.waiting());
    gauge("graderelay.tokens.refused", t, m -> b.refused());
    gauge("graderelay.tokens.waited.seconds", t, m -> b.waitedSeconds());
  }

  /**
   * The text that a Prometheus server reads.
   *
   * @param calls outcomes of calls to each service, counted by outcome
   * @param core the leader's core, or null on a follower
   */
  public String scrape(Map<String, Map<String, Long>> calls, Scheduler core) {
    if (registry == null) {
      registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
      for (Source s : sources) {
        registry.gauge(s.name(), s.tags(), this, s.value());
      }
      registry.gauge("graderelay.heap.bytes", Runtime.getRuntime(), r -> used(r));
      unread.forEach(s -> timer(s.name()).record((long) (s.seconds() * 1e9), TimeUnit.NANOSECONDS));
      unread.clear();
    }
    calls.forEach(
        (service, byOutcome) ->
            byOutcome.forEach(
                (outcome, n) ->
                    show("graderelay.calls", Tags.of("service", service, "call", outcome), n)));
    counts.forEach(
        (k, n) -> {
          String[] p = k.split("\\|", 3);
          show(p[0], Tags.of(p[1], p[2]), n);
        });
    readings.forEach(r -> r.get().forEach(v -> show(v.name(), v.tags(), v.value())));
    if (core != null) {
      Map<String, Long> fleet = new HashMap<>();
      for (Scheduler.MachineView m : core.machines(loop.now())) {
        fleet.merge(
            m.type() + "|" + (m.spot() ? "spot" : "ordinary") + "|" + m.state(), 1L, Long::sum);
      }
      fleetTags.forEach(t -> show("graderelay.fleet", t, 0));
      fleet.forEach(
          (k, n) -> {
            String[] p = k.split("\\|", 3);
            Tags t = Tags.of("type", p[0], "kind", p[1], "state", p[2]);
            fleetTags.add(t);
            show("graderelay.fleet", t, n);
          });
    }
    return registry.scrape();
  }

  private final java.util.Set<Tags> fleetTags = new java.util.HashSet<>();
  private final Map<String, double[]> shown = new HashMap<>();

  private void show(String name, Tags tags, double value) {
    StringBuilder key = new StringBuilder(name);
    for (Tag t : tags) {
      key.append('|').append(t.getValue());
    }
    double[] cell = shown.get(key.toString());
    if (cell == null) {
      cell = new double[1];
      shown.put(key.toString(), cell);
      registry.gauge(name, tags, cell, c -> c[0]);
    }
    cell[0] = value;
  }

  private static double used(Runtime r) {
    return r.totalMemory() - r.freeMemory();
  }
}

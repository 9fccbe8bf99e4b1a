package graderelay.sim;

import graderelay.net.Loop;
import java.util.PriorityQueue;

/** Virtual time: events run in order of their time, then of their making. No thread, no sleep. */
public final class SimLoop {
  private record Event(double at, long sequence, Runnable run, boolean[] off) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.sequence, b.sequence));
  private double now = 1000;
  private long nextSequence;
  private Runnable afterEach = () -> {};

  /** Returns the virtual time, in seconds. */
  public double now() {
    return now;
  }

  /** Runs this after every event from now on. */
  public void afterEach(Runnable r) {
    afterEach = r;
  }

  /** Schedules an event at a virtual time, in seconds; a past time means at once. */
  public Loop.Timer at(double time, Runnable r) {
    boolean[] off = {false};
    events.add(new Event(Math.max(time, now), nextSequence++, r, off));
    return () -> off[0] = true;
  }

  /** Schedules an event after so many seconds. */
  public Loop.Timer after(double s, Runnable r) {
    return at(now + s, r);
  }

  /** Runs everything that is due within the next seconds. */
  public void run(double seconds) {
    double until = now + seconds;
    while (!events.isEmpty() && events.peek().at <= until) {
      Event e = events.poll();
      now = e.at;
      if (!e.off[0]) {
        e.run.run();
        afterEach.run();
      }
    }
    now = until;
  }

  /** The loop of one process, which ends with it and whose steady clock may run fast. */
  public Loop process(double drift, boolean[] dead) {
    return new Loop() {
      @Override
      public double now() {
        return now * (1 + drift);
      }

      @Override
      public long wallClockMs() {
        return (long) (now * 1000) + 1_700_000_000_000L;
      }

      @Override
      public void execute(Runnable r) {
        schedule(0, r);
      }

      @Override
      public Timer schedule(double seconds, Runnable r) {
        return SimLoop.this.after(
            Math.max(0, seconds) / (1 + drift),
            () -> {
              if (!dead[0]) {
                r.run();
              }
            });
      }
    };
  }
}

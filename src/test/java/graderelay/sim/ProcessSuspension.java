package graderelay.sim;

import graderelay.net.Loop;
import java.util.ArrayList;
import java.util.List;

/** Suspends a simulated process: what it would do waits, in order, until it is resumed. */
final class ProcessSuspension {
  private boolean suspended;
  private final List<Runnable> waiting = new ArrayList<>();

  /** From now on nothing of the process runs. */
  void suspend() {
    suspended = true;
  }

  /** Lets the process go on with all that has waited. */
  void resume(SimLoop loop) {
    suspended = false;
    List<Runnable> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(r -> loop.after(0, r));
  }

  /** Runs something now, or once the process is resumed. */
  void run(Runnable r) {
    if (suspended) {
      waiting.add(() -> run(r));
    } else {
      r.run();
    }
  }

  /** Returns a loop whose events wait while the process is suspended. */
  Loop wrap(Loop loop) {
    return new Loop() {
      @Override
      public double now() {
        return loop.now();
      }

      @Override
      public long wallClockMs() {
        return loop.wallClockMs();
      }

      @Override
      public void execute(Runnable r) {
        loop.execute(() -> ProcessSuspension.this.run(r));
      }

      @Override
      public Timer schedule(double seconds, Runnable r) {
        boolean[] off = {false};
        Timer t =
            loop.schedule(
                seconds,
                () ->
                    ProcessSuspension.this.run(
                        () -> {
                          if (!off[0]) {
                            r.run();
                          }
                        }));
        return () -> {
          off[0] = true;
          t.cancel();
        };
      }
    };
  }
}

package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Expected run times of tasks. Users' estimates are often wrong, on some days all in one way, so
 * they are corrected by what tasks of the class really took.
 */
final class RunTimeEstimates {
  /** Share of the weight that older run times keep with each new one. */
  private static final double RATIO_MEMORY = 0.98;

  /** Times its estimate that a single run time counts as at most. */
  private static final double MOST_RATIO = 4;

  /** Seconds that a task without an estimate is taken to run. */
  private static final double UNKNOWN_RUN_S = 60;

  /** Real run times of a class over their estimates: a sum that fades, and its weight. */
  private static final class Ratio {
    private double sum = 1;
    private double count = 1;

    /** Older ratios fade, so that a change of habit shows. */
    void add(double ratio) {
      sum = sum * RATIO_MEMORY + Math.min(MOST_RATIO, ratio);
      count = count * RATIO_MEMORY + 1;
    }
  }

  private final Map<String, Ratio> ratioByClass = new HashMap<>();

  /** A task has run to its end in so many seconds. */
  void onRan(JobSpec spec, double seconds) {
    if (spec.estimateS() > 0) {
      ratioByClass
          .computeIfAbsent(spec.jobClass(), c -> new Ratio())
          .add(seconds / spec.estimateS());
    }
  }

  /** Expected run time of a task, in seconds: the user's estimate, corrected by the class. */
  double estimate(JobSpec spec) {
    Ratio ratio = ratioByClass.get(spec.jobClass());
    double estimate = spec.estimateS() > 0 ? spec.estimateS() : UNKNOWN_RUN_S;
    return ratio == null ? estimate : estimate * ratio.sum / ratio.count;
  }
}

package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates task run times. Users' estimates are often wrong, on some days all of them in the same
 * direction, so they are scaled by the ratio of actual to estimated run times of the job class.
 */
final class RunTimeEstimates {
  /** Factor by which the weight of earlier ratios decays with each new one. */
  private static final double RATIO_DECAY_FACTOR = 0.98;

  /** Upper bound on a single ratio, which limits the effect of outliers. */
  private static final double MAX_RATIO = 4;

  /** Assumed run time in seconds of a task without an estimate. */
  private static final double DEFAULT_RUN_TIME_S = 60;

  /** Exponentially weighted mean of the ratios of actual to estimated run times of one class. */
  private static final class RunTimeRatio {
    private double weightedSum = 1;
    private double totalWeight = 1;

    /** Adds a ratio and decays the earlier ones, so that the mean follows changes in usage. */
    void add(double ratio) {
      weightedSum = weightedSum * RATIO_DECAY_FACTOR + Math.min(MAX_RATIO, ratio);
      totalWeight = totalWeight * RATIO_DECAY_FACTOR + 1;
    }
  }

  private final Map<String, RunTimeRatio> ratioByClass = new HashMap<>();

  /** Records the run time of a completed task. */
  void onTaskCompleted(JobSpec spec, double runTimeS) {
    if (spec.estimateS() > 0) {
      ratioByClass
          .computeIfAbsent(spec.jobClass(), jobClass -> new RunTimeRatio())
          .add(runTimeS / spec.estimateS());
    }
  }

  /**
   * Expected run time of a task in seconds: the user's estimate scaled by the ratio of its class.
   */
  double estimateRunTimeS(JobSpec spec) {
    RunTimeRatio ratio = ratioByClass.get(spec.jobClass());
    double estimateS = spec.estimateS() > 0 ? spec.estimateS() : DEFAULT_RUN_TIME_S;
    return ratio == null ? estimateS : estimateS * ratio.weightedSum / ratio.totalWeight;
  }
}

package graderelay.core;

import graderelay.quota.Amount;

/**
 * Amounts of a machine's resources.
 *
 * @param memGb memory, in gigabytes
 */
public record Resources(double cpus, double gpus, double memGb) {
  /** Decimal amounts are summed up in floating point; this much of a unit is rounding, not need. */
  static final double SLACK = 1e-6;

  /** Bound on {@link #times} where nothing is needed. */
  private static final double MOST_TIMES = 1e9;

  public static final Resources NONE = new Resources(0, 0, 0);

  /** What one task of the job needs. */
  static Resources of(JobSpec spec) {
    return new Resources(spec.cpus(), spec.gpus(), spec.memGb());
  }

  /** What an empty machine of the type has. */
  static Resources of(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memGb());
  }

  /** The same in exact sums, as stored limits count it. */
  Amount amount() {
    return Amount.needed(cpus, gpus);
  }

  /** The sum of these amounts and the others. */
  Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memGb + other.memGb);
  }

  /** These amounts without the others. */
  Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memGb - other.memGb);
  }

  /** True if the other amounts fit in these. */
  boolean holds(Resources other) {
    return other.cpus <= cpus + SLACK && other.gpus <= gpus + SLACK && other.memGb <= memGb + SLACK;
  }

  /** How many of the other amounts fit at once. */
  int times(Resources other) {
    double times = MOST_TIMES;
    if (other.cpus > 0) {
      times = Math.min(times, (cpus + SLACK) / other.cpus);
    }
    if (other.gpus > 0) {
      times = Math.min(times, (gpus + SLACK) / other.gpus);
    }
    if (other.memGb > 0) {
      times = Math.min(times, (memGb + SLACK) / other.memGb);
    }
    return (int) Math.max(0, Math.floor(times));
  }
}

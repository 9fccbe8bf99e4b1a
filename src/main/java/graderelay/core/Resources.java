package graderelay.core;

import graderelay.quota.Amount;

/**
 * CPUs, GPUs and memory of a machine, or of a task.
 *
 * @param cpus number of CPUs, which may be fractional
 * @param gpus number of GPUs, which may be fractional
 * @param memGb memory, in gigabytes
 */
public record Resources(double cpus, double gpus, double memGb) {
  /**
   * Tolerance in comparisons: amounts are decimal fractions added up in floating point, and a
   * smaller difference is a rounding error.
   */
  static final double ROUNDING_TOLERANCE = 1e-6;

  /**
   * Upper bound on the result of {@link #countFitting}, which is reached only if the other amounts
   * are all 0.
   */
  private static final double MAX_COUNT = 1e9;

  public static final Resources NONE = new Resources(0, 0, 0);

  /** The resources that one task of the job needs. */
  static Resources of(JobSpec spec) {
    return new Resources(spec.cpus(), spec.gpus(), spec.memGb());
  }

  /** The capacity of a machine of the type. */
  static Resources of(MachineType type) {
    return new Resources(type.cpus(), type.gpus(), type.memGb());
  }

  /** CPUs and GPUs as an exact amount, in which stored limits are counted. */
  Amount amount() {
    return Amount.roundedUp(cpus, gpus);
  }

  Resources plus(Resources other) {
    return new Resources(cpus + other.cpus, gpus + other.gpus, memGb + other.memGb);
  }

  Resources minus(Resources other) {
    return new Resources(cpus - other.cpus, gpus - other.gpus, memGb - other.memGb);
  }

  /** True if the other resources fit into these. */
  boolean hasRoomFor(Resources other) {
    return other.cpus <= cpus + ROUNDING_TOLERANCE
        && other.gpus <= gpus + ROUNDING_TOLERANCE
        && other.memGb <= memGb + ROUNDING_TOLERANCE;
  }

  /** How many times the other resources fit into these. */
  int countFitting(Resources other) {
    double count = MAX_COUNT;
    if (other.cpus > 0) {
      count = Math.min(count, (cpus + ROUNDING_TOLERANCE) / other.cpus);
    }
    if (other.gpus > 0) {
      count = Math.min(count, (gpus + ROUNDING_TOLERANCE) / other.gpus);
    }
    if (other.memGb > 0) {
      count = Math.min(count, (memGb + ROUNDING_TOLERANCE) / other.memGb);
    }
    return (int) Math.max(0, Math.floor(count));
  }
}

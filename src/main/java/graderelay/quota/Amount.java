package graderelay.quota;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * An amount of resources: CPUs and GPUs in integer thousandths, so that sums are exact in any
 * order.
 *
 * @param cpuMillis thousandths of a CPU
 * @param gpuMillis thousandths of a GPU
 */
public record Amount(long cpuMillis, long gpuMillis) {
  /** Thousandths per unit. */
  public static final long MILLIS_PER_UNIT = 1000;

  /** Zero; as a limit it means unlimited. */
  public static final Amount NONE = new Amount(0, 0);

  /** Tolerance for the rounding errors of amounts that are given as binary floating point. */
  private static final double ROUNDING_TOLERANCE_MILLIS = 1e-6;

  /** Rounds up, for the needs of tasks: a task is never counted with less than it uses. */
  public static Amount roundedUp(double cpus, double gpus) {
    return new Amount(toMillisRoundedUp(cpus), toMillisRoundedUp(gpus));
  }

  /** Rounds down, for limits and guarantees: they are never counted with more than was granted. */
  public static Amount roundedDown(double cpus, double gpus) {
    return new Amount(toMillisRoundedDown(cpus), toMillisRoundedDown(gpus));
  }

  private static long toMillisRoundedUp(double units) {
    return (long) Math.ceil(units * MILLIS_PER_UNIT - ROUNDING_TOLERANCE_MILLIS);
  }

  private static long toMillisRoundedDown(double units) {
    return (long) Math.floor(units * MILLIS_PER_UNIT + ROUNDING_TOLERANCE_MILLIS);
  }

  /** Thousandths of a decimal number that must have no more than three decimal places. */
  public static long toMillisExact(BigDecimal units) {
    return units
        .multiply(BigDecimal.valueOf(MILLIS_PER_UNIT))
        .setScale(0, RoundingMode.UNNECESSARY)
        .longValue();
  }

  /** The number of CPUs. */
  public double cpus() {
    return cpuMillis / (double) MILLIS_PER_UNIT;
  }

  /** The number of GPUs. */
  public double gpus() {
    return gpuMillis / (double) MILLIS_PER_UNIT;
  }

  /** The componentwise sum. */
  public Amount plus(Amount other) {
    return new Amount(cpuMillis + other.cpuMillis, gpuMillis + other.gpuMillis);
  }

  /** The componentwise difference, which may be negative. */
  public Amount minus(Amount other) {
    return new Amount(cpuMillis - other.cpuMillis, gpuMillis - other.gpuMillis);
  }

  /** Each component multiplied by {@code count}. */
  public Amount times(int count) {
    return new Amount(cpuMillis * count, gpuMillis * count);
  }

  /** True if neither component is below that of {@code other}. */
  public boolean covers(Amount other) {
    return cpuMillis >= other.cpuMillis && gpuMillis >= other.gpuMillis;
  }

  /** The componentwise maximum. */
  public Amount max(Amount other) {
    return new Amount(Math.max(cpuMillis, other.cpuMillis), Math.max(gpuMillis, other.gpuMillis));
  }

  /** The componentwise excess over {@code other}, at least zero. */
  public Amount excessOver(Amount other) {
    return new Amount(
        Math.max(0, cpuMillis - other.cpuMillis), Math.max(0, gpuMillis - other.gpuMillis));
  }

  /** True if a component is below zero. */
  public boolean isNegative() {
    return cpuMillis < 0 || gpuMillis < 0;
  }

  @Override
  public String toString() {
    String cpus = BigDecimal.valueOf(cpuMillis, 3).stripTrailingZeros().toPlainString();
    String gpus = BigDecimal.valueOf(gpuMillis, 3).stripTrailingZeros().toPlainString();
    return gpuMillis == 0 ? cpus + " CPUs" : cpus + " CPUs and " + gpus + " GPUs";
  }
}

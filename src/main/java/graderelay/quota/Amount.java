package graderelay.quota;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * An amount of resources: CPUs and GPUs in integer thousandths, so that sums are exact whatever
 * their order.
 *
 * @param cpuMillis thousandths of a CPU
 * @param gpuMillis thousandths of a GPU
 */
public record Amount(long cpuMillis, long gpuMillis) {
  /** Thousandths of one unit. */
  public static final long MILLIS_PER_UNIT = 1000;

  /** Nothing; as a limit, none. */
  public static final Amount NONE = new Amount(0, 0);

  /** Decimal amounts come as binary floating point; this part of a thousandth is rounding. */
  private static final double ROUNDING_TOLERANCE_MILLIS = 1e-6;

  /** What a task needs, rounded up: it never counts as less than it takes. */
  public static Amount roundedUp(double cpus, double gpus) {
    return new Amount(toMillisRoundedUp(cpus), toMillisRoundedUp(gpus));
  }

  /** A limit or guarantee, rounded down: it never counts as more than was given. */
  public static Amount roundedDown(double cpus, double gpus) {
    return new Amount(toMillisRoundedDown(cpus), toMillisRoundedDown(gpus));
  }

  private static long toMillisRoundedUp(double units) {
    return (long) Math.ceil(units * MILLIS_PER_UNIT - ROUNDING_TOLERANCE_MILLIS);
  }

  private static long toMillisRoundedDown(double units) {
    return (long) Math.floor(units * MILLIS_PER_UNIT + ROUNDING_TOLERANCE_MILLIS);
  }

  /** Thousandths of a decimal number that is known to have no further digits. */
  public static long toMillisExact(BigDecimal units) {
    return units
        .multiply(BigDecimal.valueOf(MILLIS_PER_UNIT))
        .setScale(0, RoundingMode.UNNECESSARY)
        .longValue();
  }

  /** CPUs, as people write them. */
  public double cpus() {
    return cpuMillis / (double) MILLIS_PER_UNIT;
  }

  /** GPUs, as people write them. */
  public double gpus() {
    return gpuMillis / (double) MILLIS_PER_UNIT;
  }

  /** The sum of each part. */
  public Amount plus(Amount other) {
    return new Amount(cpuMillis + other.cpuMillis, gpuMillis + other.gpuMillis);
  }

  /** The difference of each part, which may be negative. */
  public Amount minus(Amount other) {
    return new Amount(cpuMillis - other.cpuMillis, gpuMillis - other.gpuMillis);
  }

  /** So many times each part. */
  public Amount times(int count) {
    return new Amount(cpuMillis * count, gpuMillis * count);
  }

  /** True if neither part is below the other's. */
  public boolean covers(Amount other) {
    return cpuMillis >= other.cpuMillis && gpuMillis >= other.gpuMillis;
  }

  /** The larger of each part. */
  public Amount max(Amount other) {
    return new Amount(Math.max(cpuMillis, other.cpuMillis), Math.max(gpuMillis, other.gpuMillis));
  }

  /** The part that exceeds another amount, with nothing below zero. */
  public Amount excessOver(Amount other) {
    return new Amount(
        Math.max(0, cpuMillis - other.cpuMillis), Math.max(0, gpuMillis - other.gpuMillis));
  }

  /** True if a part is below zero. */
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

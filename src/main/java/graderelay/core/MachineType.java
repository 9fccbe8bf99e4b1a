package graderelay.core;

import java.util.List;

/**
 * A machine type that the cloud offers.
 *
 * @param memGb memory, in gigabytes
 * @param fetchGbPerS image fetch rate, in gigabytes per second
 * @param price hourly price of an on-demand instance
 * @param spotPrice hourly price of a spot instance; 0 if the type has no spot instances
 * @param bootS nominal boot time, in seconds
 * @param zones zones in which the type is available
 */
public record MachineType(
    String name,
    double cpus,
    double gpus,
    double memGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    double bootS,
    List<String> zones) {

  /** Hourly price of a spot instance or an on-demand instance. */
  public double priceOf(boolean spot) {
    return spot ? spotPrice : price;
  }
}

package graderelay.core;

import java.util.List;

/**
 * A machine type of the cloud.
 *
 * @param memGb memory, in gigabytes
 * @param fetchGbPerS gigabytes of an image that it fetches in a second
 * @param price money an hour for an on-demand instance
 * @param spotPrice money an hour for a spot instance; 0 if there are none
 * @param bootS nominal boot time, in seconds
 * @param zones the zones that have it
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

  /** Money an hour for a spot or an on-demand instance. */
  public double priceOf(boolean spot) {
    return spot ? spotPrice : price;
  }
}

package graderelay.core;

import java.util.List;

/** What the cloud offers under one name. */
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

  public double priceOf(boolean spot) {
    return spot ? spotPrice : price;
  }
}

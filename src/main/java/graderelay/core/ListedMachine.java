package graderelay.core;

/**
 * One machine of the cloud's list.
 *
 * @param type name of its machine type
 * @param spot true for a spot instance, false for an on-demand instance
 * @param stage the cloud's word for its state, for example "booting" or "failed"
 * @param ageS seconds since its creation was requested
 */
public record ListedMachine(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    String stage,
    double ageS) {}

package graderelay.core;

/**
 * One entry of the cloud's list of machines.
 *
 * @param type name of its machine type
 * @param spot true for a spot instance, false for an on-demand instance
 * @param state state as the cloud reports it, for example "booting" or "failed"
 * @param ageS seconds since its creation was requested
 */
public record ListedMachine(
    String name,
    String address,
    String type,
    String zone,
    boolean spot,
    String state,
    double ageS) {}

package graderelay.core;

/**
 * One kind of machine that the cloud can be asked for in a scale-out request: a machine type, a
 * zone, and whether it is a spot or preemptible instance.
 */
record InstancePool(String type, String zone, boolean spot) {}

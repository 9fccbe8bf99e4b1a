package graderelay.core;

/**
 * A pool of interchangeable machines that a scale-out request can draw from: a machine type, a
 * zone, and whether instances are spot (preemptible) or on-demand.
 */
record InstancePool(String type, String zone, boolean spot) {}

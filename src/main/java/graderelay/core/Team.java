package graderelay.core;

/** A team's guarantee and limit; 0 means none. */
public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

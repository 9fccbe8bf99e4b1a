package graderelay.sim;

import java.util.List;

/**
 * What simulated deployments differ in.
 *
 * @param size number of controllers
 * @param heartbeatS seconds between two heartbeats of a worker
 * @param leaseS seconds for which a worker's lease lasts
 * @param zones names of the zones
 * @param machines the most machines that the cloud has
 * @param limit the team's CPU limit
 */
public record WorldShape(
    int size, double heartbeatS, double leaseS, List<String> zones, int machines, double limit) {
  /** Returns the usual shape with so many controllers. */
  public static WorldShape of(int size) {
    return new WorldShape(
        size, SimWorld.HEARTBEAT_S, SimWorld.LEASE_S, List.of("a", "b"), 8, SimWorld.LIMIT);
  }

  /** The same with workers that send heartbeats as often and whose lease is as long. */
  public WorldShape workers(double every, double lease) {
    return new WorldShape(size, every, lease, zones, machines, limit);
  }

  /** The same with so many machines and as large a limit as they can hold, in these zones. */
  public WorldShape fleet(int most, List<String> in) {
    return new WorldShape(size, heartbeatS, leaseS, in, most, 3.0 * most);
  }
}

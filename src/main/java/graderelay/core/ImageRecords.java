package graderelay.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores which images each machine has, so that a new leader can place tasks on machines with their
 * image after a failover. Each record holds one shard of the fleet.
 */
final class ImageRecords {
  /** Minimum seconds between two writes of image records. */
  private static final double STORE_INTERVAL_S = 15;

  /**
   * Upper bound on the records written at one time, since each is a separate change in the
   * key-value store. The remaining records are written at later times, in round-robin order.
   */
  private static final int MAX_RECORDS_PER_WRITE = 24;

  private final ClusterState cluster;
  private final double startedAt;
  private double lastStoredAt;
  private int nextShard;

  ImageRecords(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /**
   * Writes records that lack an image of one of their machines, at most {@link
   * #MAX_RECORDS_PER_WRITE} per call in round-robin order. Does nothing if the last write is less
   * than {@link #STORE_INTERVAL_S} ago.
   */
  void store(double now) {
    if (now - Math.max(startedAt, lastStoredAt) < STORE_INTERVAL_S) {
      return;
    }
    lastStoredAt = now;
    int shardCount =
        cluster.imageShardsPerThousandMachines * FleetPlanner.thousandsOfMachines(cluster);
    if (shardCount > cluster.imageShardCount) {
      // The count never shrinks with the fleet, since it could then oscillate, and every change of
      // it rewrites all records.
      cluster.setImageShardCount(shardCount);
    }
    Map<Integer, Map<String, List<String>>> imagesByShard = changedShards();
    if (imagesByShard.isEmpty()) {
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      Map<String, List<String>> shardImages =
          imagesByShard.get(machine.imageShard(cluster.imageShardCount));
      if (shardImages == null) {
        continue;
      }
      machine.imagesChanged = false;
      if (!machine.images.isEmpty() && !machine.scalingIn) {
        shardImages.put(machine.name, List.copyOf(machine.images.keySet()));
      }
    }
    imagesByShard.forEach(
        (shard, images) -> cluster.actions.add(new Action.StoreImages(shard, images)));
  }

  /** The outdated records to write now, by shard and still empty. */
  private Map<Integer, Map<String, List<String>>> changedShards() {
    boolean[] changed = new boolean[cluster.imageShardCount];
    for (Machine machine : cluster.machines.values()) {
      changed[machine.imageShard(cluster.imageShardCount)] |= machine.imagesChanged;
    }
    Map<Integer, Map<String, List<String>>> imagesByShard = new HashMap<>();
    for (int i = 0; i < changed.length && imagesByShard.size() < MAX_RECORDS_PER_WRITE; i++) {
      int shard = nextShard % changed.length;
      nextShard = shard + 1;
      if (changed[shard]) {
        imagesByShard.put(shard, new HashMap<>());
      }
    }
    return imagesByShard;
  }
}

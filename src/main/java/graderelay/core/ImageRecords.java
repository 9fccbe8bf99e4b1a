package graderelay.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores which images each machine has, in records of a shard of the fleet each, so that the next
 * leader after a failover knows where work starts warm.
 */
final class ImageRecords {
  /** Seconds between records of the images on machines, each a hint for the next leader. */
  private static final double STORE_EVERY_S = 15;

  /**
   * Such records written at one time, each a change of the store: a bound on a batch. The others
   * follow in turn at the next times.
   */
  private static final int PARTS_AT_ONCE = 24;

  private final ClusterState cluster;
  private final double startedAt;
  private double lastStored;
  private int nextPart;

  ImageRecords(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /**
   * Writes only the records of which a machine has got an image that they don't name, and at most
   * so many at a time, in turn.
   */
  void store(double now) {
    if (now - Math.max(startedAt, lastStored) < STORE_EVERY_S) {
      return;
    }
    lastStored = now;
    int partCount = cluster.imagePartsPerThousand * FleetPlanner.thousandsOfMachines(cluster);
    if (partCount > cluster.imageParts) {
      // It does not shrink with the fleet, or it would oscillate.
      cluster.imageParts(partCount);
    }
    Map<Integer, Map<String, List<String>>> parts = changedParts();
    if (parts.isEmpty()) {
      return;
    }
    for (Machine machine : cluster.machines.values()) {
      Map<String, List<String>> part = parts.get(machine.imagePart(cluster.imageParts));
      if (part == null) {
        continue;
      }
      machine.imagesChanged = false;
      if (!machine.images.isEmpty() && !machine.scalingIn) {
        part.put(machine.name, List.copyOf(machine.images.keySet()));
      }
    }
    parts.forEach((part, images) -> cluster.actions.add(new Action.KeepImages(part, images)));
  }

  /** The records to write now by number, empty as yet: the next of those that are out of date. */
  private Map<Integer, Map<String, List<String>>> changedParts() {
    boolean[] changed = new boolean[cluster.imageParts];
    for (Machine machine : cluster.machines.values()) {
      changed[machine.imagePart(cluster.imageParts)] |= machine.imagesChanged;
    }
    Map<Integer, Map<String, List<String>>> parts = new HashMap<>();
    for (int i = 0; i < changed.length && parts.size() < PARTS_AT_ONCE; i++) {
      int part = nextPart % changed.length;
      nextPart = part + 1;
      if (changed[part]) {
        parts.put(part, new HashMap<>());
      }
    }
    return parts;
  }
}

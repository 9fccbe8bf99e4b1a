package graderelay.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Stores which images each machine has, in records of a part of the fleet each, so that the next
 * leader after a failover knows where work starts warm.
 */
final class ImageRecords {
  /** Seconds between records of the images on machines, each a hint for the next leader. */
  private static final double KEEP_IMAGES_EVERY_S = 15;

  /**
   * Such records written at one time, each a change of the state service: a bound on a batch. The
   * others follow in turn at the next times.
   */
  private static final int IMAGE_PARTS_AT_ONCE = 24;

  private final ClusterState cluster;
  private final double startedAt;
  private double lastKept;
  private int nextPart;

  ImageRecords(ClusterState cluster, double startedAt) {
    this.cluster = cluster;
    this.startedAt = startedAt;
  }

  /**
   * Writes only the records of which a machine has got an image that they don't name, and at most
   * so many at a time, in turn.
   */
  void keepImages(double now) {
    if (now - Math.max(startedAt, lastKept) < KEEP_IMAGES_EVERY_S) {
      return;
    }
    lastKept = now;
    int wanted = cluster.imagePartsPerThousand * FleetPlanner.thousandsOfMachines(cluster);
    if (wanted > cluster.imageParts) {
      cluster.imageParts(wanted); // It does not shrink with the fleet, or it would go to and fro.
    }
    Map<Integer, Map<String, List<String>>> parts = changedParts();
    if (parts.isEmpty()) {
      return;
    }
    for (Machine m : cluster.machines.values()) {
      Map<String, List<String>> part = parts.get(m.imagePart(cluster.imageParts));
      if (part == null) {
        continue;
      }
      m.imagesChanged = false;
      if (!m.images.isEmpty() && !m.scalingIn) {
        part.put(m.name, List.copyOf(m.images.keySet()));
      }
    }
    parts.forEach((i, machines) -> cluster.actions.add(new Action.KeepImages(i, machines)));
  }

  /** The records to write now, empty as yet: the next in turn of those that are out of date. */
  private Map<Integer, Map<String, List<String>>> changedParts() {
    boolean[] changed = new boolean[cluster.imageParts];
    for (Machine m : cluster.machines.values()) {
      changed[m.imagePart(cluster.imageParts)] |= m.imagesChanged;
    }
    Map<Integer, Map<String, List<String>>> parts = new HashMap<>();
    for (int i = 0; i < changed.length && parts.size() < IMAGE_PARTS_AT_ONCE; i++) {
      int part = nextPart % changed.length;
      nextPart = part + 1;
      if (changed[part]) {
        parts.put(part, new HashMap<>());
      }
    }
    return parts;
  }
}

package graderelay.features;

/**
 * The finalized feature level of the cluster.
 *
 * @param level the level whose record formats may be stored
 * @param target the target of the downgrade in progress, or {@code level} if there is none
 */
public record ClusterLevel(int level, int target) {
  /** The level of a cluster without a stored record of its level. */
  public static final ClusterLevel BASE = of(Feature.BASE_LEVEL);

  /** Checks that the target is a valid level and not above the level. */
  public ClusterLevel {
    if (target < Feature.BASE_LEVEL || target > level) {
      throw new IllegalArgumentException(
          "invalid feature level: " + level + ", with target " + target);
    }
  }

  /** A level without a downgrade in progress. */
  public static ClusterLevel of(int level) {
    return new ClusterLevel(level, level);
  }

  /** True if records of the feature may be stored at this level. */
  public boolean includes(Feature feature) {
    return feature.level() <= level;
  }

  /** True during a downgrade: records of features above the target are read but not written. */
  public boolean isLowering() {
    return target < level;
  }
}

package graderelay.features;

/**
 * The finalized feature level of the cluster.
 *
 * @param level the level whose forms may be stored
 * @param target the level to which the cluster is on its way down, or {@code level} itself
 */
public record ClusterLevel(int level, int target) {
  /** The level of a cluster whose store holds no record of one. */
  public static final ClusterLevel BASE = of(Feature.BASE_LEVEL);

  /** Checks that the target is no higher than the level. */
  public ClusterLevel {
    if (target < Feature.BASE_LEVEL || target > level) {
      throw new IllegalArgumentException("no feature level: " + level + " towards " + target);
    }
  }

  /** A level that stays. */
  public static ClusterLevel of(int level) {
    return new ClusterLevel(level, level);
  }

  /** True if forms of the feature may be stored at this level. */
  public boolean includes(Feature feature) {
    return feature.level() <= level;
  }

  /** True while a downgrade is under way: what is above the target is read, but not used anew. */
  public boolean isLowering() {
    return target < level;
  }
}

package graderelay.features;

/** The range of feature levels that a program supports, both ends inclusive. */
public record FeatureRange(int min, int max) {
  /** Checks that the range is not empty. */
  public FeatureRange {
    if (min < Feature.BASE_LEVEL || min > max) {
      throw new IllegalArgumentException("invalid range of feature levels: " + min + " to " + max);
    }
  }

  /** The levels that this program supports. */
  public static FeatureRange ofThisProgram() {
    return new FeatureRange(Feature.BASE_LEVEL, Feature.LATEST_LEVEL);
  }

  /** True if a program with this range may run in a cluster at the level. */
  public boolean supports(int level) {
    return min <= level && level <= max;
  }

  @Override
  public String toString() {
    return min + " to " + max;
  }
}

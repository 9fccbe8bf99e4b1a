package graderelay.features;

/** The feature levels that a program supports, both ends included. */
public record FeatureRange(int min, int max) {
  public FeatureRange {
    if (min < Feature.BASE_LEVEL || min > max) {
      throw new IllegalArgumentException("no range of feature levels: " + min + " to " + max);
    }
  }

  /** Everything that this program knows. */
  public static FeatureRange ofThisProgram() {
    return new FeatureRange(Feature.BASE_LEVEL, Feature.LATEST_LEVEL);
  }

  /** True if a program with this range may run in a cluster of that level. */
  public boolean supports(int level) {
    return min <= level && level <= max;
  }

  @Override
  public String toString() {
    return min + " to " + max;
  }
}

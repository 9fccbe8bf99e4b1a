package graderelay.features;

import java.util.Locale;
import java.util.Optional;

/**
 * New behaviour that is enabled only after all controllers support it. Each feature is introduced
 * with a feature level; code calls {@link FeatureGate#isEnabled} with the feature and never
 * compares levels.
 */
public enum Feature {
  /**
   * Leader and suspension records are stored under keys that versions without feature levels never
   * read. The keys that those versions read hold records that permanently prevent them from winning
   * an election or confirming a cancellation.
   */
  SEALED_ELECTION(1),

  /** The hints for the next leader, on images and demand, are stored in a compressed format. */
  COMPACT_HINTS(2),

  /** Team limits and guarantees are stored, with an account of the use of each team's claims. */
  STORED_LIMITS(3);

  /** The level below all features: the behaviour of versions without feature levels. */
  public static final int BASE_LEVEL = 0;

  /** The highest level that this program supports. */
  public static final int LATEST_LEVEL = STORED_LIMITS.level;

  private final int level;

  Feature(int level) {
    this.level = level;
  }

  /** The lowest level that includes the feature. */
  public int level() {
    return level;
  }

  /** The name that operators use, like {@code sealed-election}. */
  public String externalName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The feature with this external name. */
  public static Optional<Feature> byExternalName(String name) {
    for (Feature feature : values()) {
      if (feature.externalName().equals(name)) {
        return Optional.of(feature);
      }
    }
    return Optional.empty();
  }
}

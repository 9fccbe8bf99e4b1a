package graderelay.features;

import java.util.Locale;
import java.util.Optional;

/**
 * New behaviour that starts only once every controller supports it. Each feature begins with a
 * feature level; code asks {@link FeatureGate#isEnabled} by the feature's name and never compares
 * levels.
 */
public enum Feature {
  /**
   * Leader and suspensions are recorded under keys that versions without feature levels never read,
   * and the keys that those versions do read stand in their way for good: none of them can win an
   * election or confirm a cancellation any more.
   */
  SEALED_ELECTION(1),

  /** Hints for the next leader, images and demand, are written in a compressed form. */
  COMPACT_HINTS(2),

  /** Limits and guarantees of teams are stored, with an account of what each team's claims take. */
  STORED_LIMITS(3);

  /** The level before all features: what versions without feature levels do. */
  public static final int BASE_LEVEL = 0;

  /** The highest level that this program supports. */
  public static final int LATEST_LEVEL = STORED_LIMITS.level;

  private final int level;

  Feature(int level) {
    this.level = level;
  }

  /** The level with which the feature begins. */
  public int level() {
    return level;
  }

  /** The name that operators use, like {@code sealed-election}. */
  public String externalName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The feature that operators call so. */
  public static Optional<Feature> byExternalName(String name) {
    for (Feature feature : values()) {
      if (feature.externalName().equals(name)) {
        return Optional.of(feature);
      }
    }
    return Optional.empty();
  }
}

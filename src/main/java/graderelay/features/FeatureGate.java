package graderelay.features;

/**
 * The one place that decides what this program may do at the cluster's feature level. It is open
 * once the level is known to be one that this program supports, and shut while it is known not to
 * be, or can't be read, or once this process has left.
 */
public final class FeatureGate {
  private static final String LEVEL_NOT_READ = "the cluster's feature level has not been read yet";

  private final FeatureRange supported;
  private ClusterLevel current = ClusterLevel.BASE;
  private boolean levelKnown;
  private String closedReason;
  private String shutdownReason;
  private boolean wasOpen;

  /** A gate before the cluster's level is known: neither open nor shut. */
  public FeatureGate(FeatureRange supported) {
    this.supported = supported;
  }

  /** The levels that this program supports. */
  public FeatureRange supported() {
    return supported;
  }

  /** The cluster's level as last read. */
  public ClusterLevel current() {
    return current;
  }

  /** Takes the level that is stored. */
  public void onLevel(ClusterLevel level) {
    current = level;
    levelKnown = true;
    if (supported.supports(level.level())) {
      closedReason = null;
      wasOpen = true;
    } else {
      closedReason =
          "the cluster's feature level is "
              + level.level()
              + ", and this program supports "
              + supported;
    }
  }

  /** The stored record is no level: nothing may be assumed. */
  public void onMalformed(String reason) {
    levelKnown = true;
    closedReason = "the record of the cluster's feature level is malformed: " + reason;
  }

  /** This process leaves for good. */
  public void closePermanently(String reason) {
    shutdownReason = reason;
  }

  /** True if this program may act in the cluster. */
  public boolean isOpen() {
    return levelKnown && !isClosed();
  }

  /**
   * True if this program is known to have no part in the cluster. Before the level is known it is
   * neither open nor shut: what needs no level, like renewing leases with the pledges of all peers,
   * may be done.
   */
  public boolean isClosed() {
    return closedReason != null || shutdownReason != null;
  }

  /** Why this program may not act, or null if it may. */
  public String notOpenReason() {
    if (shutdownReason != null) {
      return shutdownReason;
    }
    return levelKnown ? closedReason : LEVEL_NOT_READ;
  }

  /**
   * True if the cluster was switched to a level that this program does not support while it ran, as
   * happens to a process that was suspended meanwhile.
   */
  public boolean isOutdated() {
    return wasOpen && !supported.supports(current.level());
  }

  /** True if the feature may be used: new forms may be written. */
  public boolean isEnabled(Feature feature) {
    return isOpen() && feature.level() <= current.target();
  }

  /** True if forms of the feature may be stored, also while they are being removed. */
  public boolean mayHaveRecords(Feature feature) {
    return current.includes(feature);
  }
}

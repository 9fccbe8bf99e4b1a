package graderelay.features;

/**
 * Decides what this program may do at the cluster's feature level. The gate is open if the level is
 * known and supported by this program. It is closed if the level is known and not supported, if its
 * record is malformed, or if this process is terminating. Before the level is known it is neither.
 */
public final class FeatureGate {
  private static final String LEVEL_NOT_READ = "the cluster's feature level has not been read yet";

  private final FeatureRange supported;
  private ClusterLevel current = ClusterLevel.BASE;
  private boolean levelKnown;
  private String closedReason;
  private String shutdownReason;
  private boolean hasBeenOpen;

  /** Creates a gate that is neither open nor closed, since the cluster's level is not known yet. */
  public FeatureGate(FeatureRange supported) {
    this.supported = supported;
  }

  /** The levels that this program supports. */
  public FeatureRange supported() {
    return supported;
  }

  /** The cluster's level at the last read. */
  public ClusterLevel current() {
    return current;
  }

  /** Updates the gate with the stored level. */
  public void onLevel(ClusterLevel level) {
    current = level;
    levelKnown = true;
    if (supported.supports(level.level())) {
      closedReason = null;
      hasBeenOpen = true;
    } else {
      closedReason =
          "the cluster's feature level is "
              + level.level()
              + ", and this program supports "
              + supported;
    }
  }

  /** Closes the gate because the stored record is malformed and no level can be assumed. */
  public void onMalformed(String reason) {
    levelKnown = true;
    closedReason = "the record of the cluster's feature level is malformed: " + reason;
  }

  /** Closes the gate permanently because this process is terminating. */
  public void closePermanently(String reason) {
    shutdownReason = reason;
  }

  /** True if this program may act in the cluster. */
  public boolean isOpen() {
    return levelKnown && !isClosed();
  }

  /**
   * True if this program must not act in the cluster. Before the level is known the gate is neither
   * open nor closed: operations that depend on no level, such as renewing leases with the pledges
   * of all peers, are allowed.
   */
  public boolean isClosed() {
    return closedReason != null || shutdownReason != null;
  }

  /** Why the gate is not open, or null if it is open. */
  public String notOpenReason() {
    if (shutdownReason != null) {
      return shutdownReason;
    }
    return levelKnown ? closedReason : LEVEL_NOT_READ;
  }

  /**
   * True if the cluster has changed to a level that this program does not support while the process
   * was running, which happens if the process was suspended at the time of the change.
   */
  public boolean isOutdated() {
    return hasBeenOpen && !supported.supports(current.level());
  }

  /** True if the feature may be used, that is, its records may be written. */
  public boolean isEnabled(Feature feature) {
    return isOpen() && feature.level() <= current.target();
  }

  /** True if records of the feature may be stored, even if a downgrade is removing them. */
  public boolean mayHaveRecords(Feature feature) {
    return current.includes(feature);
  }
}

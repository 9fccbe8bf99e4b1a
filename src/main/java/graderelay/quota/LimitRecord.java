package graderelay.quota;

/**
 * The stored limits of one team.
 *
 * @param quota guarantee and limit, or null if the record is malformed
 * @param revision the revision of the record, on which claims and changes are conditioned
 * @param changedBy the operator who last changed it
 * @param changedAtMs the time of the last change, in milliseconds since the epoch
 * @param malformed why the record can't be parsed, or null if it can
 */
public record LimitRecord(
    TeamQuota quota, long revision, String changedBy, long changedAtMs, String malformed) {
  /** A valid record. */
  public static LimitRecord of(TeamQuota quota, long revision, String changedBy, long changedAtMs) {
    return new LimitRecord(quota, revision, changedBy, changedAtMs, null);
  }

  /** A record that can't be parsed. */
  public static LimitRecord malformed(String reason, long revision) {
    return new LimitRecord(null, revision, "", 0, reason);
  }

  /** False if the record is malformed. */
  public boolean isReadable() {
    return malformed == null;
  }
}

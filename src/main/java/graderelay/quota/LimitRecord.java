package graderelay.quota;

/**
 * The stored limits of one team.
 *
 * @param quota guarantee and limit, or null if the record is malformed
 * @param revision the version of the record, the condition of claims and changes
 * @param changedBy who last changed it
 * @param changedAtMs the time of day at which that was
 * @param malformed why the record can't be read, or null
 */
public record LimitRecord(
    TeamQuota quota, long revision, String changedBy, long changedAtMs, String malformed) {
  /** A record that can be read. */
  public static LimitRecord of(TeamQuota quota, long revision, String changedBy, long changedAtMs) {
    return new LimitRecord(quota, revision, changedBy, changedAtMs, null);
  }

  /** A record that can't be read. */
  public static LimitRecord malformed(String reason, long revision) {
    return new LimitRecord(null, revision, "", 0, reason);
  }

  /** False if the record is malformed. */
  public boolean isReadable() {
    return malformed == null;
  }
}

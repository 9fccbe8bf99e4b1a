package graderelay.quota;

/**
 * The stored account of one team, which holds the part of the team's limit that is reserved for its
 * claims.
 *
 * @param use the reserved amount: at least the sum of the team's committed claims, and at most the
 *     limit at the time of the write
 * @param writeId the unique ID of the write that created this revision
 * @param revision the revision of the record, on which claims and changes are conditioned; 0 if
 *     there is no record
 * @param malformed why the record can't be parsed, or null if it can
 */
public record Account(Amount use, String writeId, long revision, String malformed) {
  /** An account without a record. */
  public static final Account ABSENT = of(Amount.NONE, "", 0);

  /** A valid account. */
  public static Account of(Amount use, String writer, long revision) {
    return new Account(use, writer, revision, null);
  }

  /** An account whose record can't be parsed. */
  public static Account malformed(String reason, long revision) {
    return new Account(Amount.NONE, "", revision, reason);
  }

  /** False if the record is malformed. */
  public boolean isReadable() {
    return malformed == null;
  }
}

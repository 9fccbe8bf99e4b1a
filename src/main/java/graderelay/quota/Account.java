package graderelay.quota;

/**
 * The stored account of one team: the part of its limit that is reserved for its claims.
 *
 * @param use at least the sum of the team's committed claims, and at most its limit of the time
 * @param writeId the unique name of the write that made it
 * @param revision the version of the record, the condition of claims and changes; 0 if there is
 *     none
 * @param malformed why the record can't be read, or null
 */
public record Account(Amount use, String writeId, long revision, String malformed) {
  /** No record. */
  public static final Account ABSENT = of(Amount.NONE, "", 0);

  /** An account that can be read. */
  public static Account of(Amount use, String writer, long revision) {
    return new Account(use, writer, revision, null);
  }

  /** An account that can't be read. */
  public static Account malformed(String reason, long revision) {
    return new Account(Amount.NONE, "", revision, reason);
  }

  /** False if the record is malformed. */
  public boolean isReadable() {
    return malformed == null;
  }
}

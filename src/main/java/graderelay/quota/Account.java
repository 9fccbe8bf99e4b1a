package graderelay.quota;

/**
 * The stored account of one team: what its committed claims take at most.
 *
 * @param use at least the sum of the team's committed claims
 * @param revision the version of the record, the condition of the next change; 0 if there is none
 * @param malformed why the record can't be read, or null
 */
public record Account(Amount use, long revision, String malformed) {
  /** No record. */
  public static final Account ABSENT = of(Amount.NONE, 0);

  /** An account that can be read. */
  public static Account of(Amount use, long revision) {
    return new Account(use, revision, null);
  }

  /** An account that can't be read. */
  public static Account malformed(String why, long revision) {
    return new Account(Amount.NONE, revision, why);
  }

  public boolean isReadable() {
    return malformed == null;
  }
}

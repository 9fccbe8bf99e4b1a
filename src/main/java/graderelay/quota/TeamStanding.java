package graderelay.quota;

/**
 * How the account of a team stands with the leader.
 *
 * @param account what the account says
 * @param claims what the committed claims take
 * @param settled true once this leader has settled it
 * @param stoppedBecause why nothing of the team is claimed before operators mend a record, or null
 */
public record TeamStanding(Amount account, Amount claims, boolean settled, String stoppedBecause) {}

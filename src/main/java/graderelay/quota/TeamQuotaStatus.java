package graderelay.quota;

/**
 * The reserved and used amounts of one team, as known to the leader.
 *
 * @param reserved the amount that the account reserves
 * @param used the use of the committed claims
 * @param settled true if this leader has settled the account
 * @param stoppedBecause why the team can't claim anything until operators repair a record, or null
 */
public record TeamQuotaStatus(
    Amount reserved, Amount used, boolean settled, String stoppedBecause) {}

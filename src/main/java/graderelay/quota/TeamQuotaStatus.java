package graderelay.quota;

/**
 * The reservation and usage of one team, as the leader knows them.
 *
 * @param reserved what the account reserves
 * @param used what the committed claims use
 * @param settled true once this leader has settled it
 * @param stoppedBecause why nothing of the team is claimed before operators mend a record, or null
 */
public record TeamQuotaStatus(
    Amount reserved, Amount used, boolean settled, String stoppedBecause) {}

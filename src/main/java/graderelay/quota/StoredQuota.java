package graderelay.quota;

import java.util.Map;

/**
 * The stored records of limits and accounts, as of one read.
 *
 * @param limits the limit records by team
 * @param accounts the accounts by team
 * @param seeded true if all limits of the settings have been stored
 * @param readRevision the revision of the key-value store as of which the records were read
 */
public record StoredQuota(
    Map<String, LimitRecord> limits,
    Map<String, Account> accounts,
    boolean seeded,
    long readRevision) {}

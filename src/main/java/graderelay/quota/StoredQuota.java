package graderelay.quota;

import java.util.Map;

/**
 * The records of limits and accounts as they were read.
 *
 * @param limits by team
 * @param accounts by team
 * @param seeded true once the limits of the settings have been stored as a whole
 * @param readRevision the revision of the key-value store up to which everything was read
 */
public record StoredQuota(
    Map<String, LimitRecord> limits,
    Map<String, Account> accounts,
    boolean seeded,
    long readRevision) {}

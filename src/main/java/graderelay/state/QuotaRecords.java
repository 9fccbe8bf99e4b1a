package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.Feature;
import graderelay.features.FeatureGate;
import graderelay.quota.Account;
import graderelay.quota.LimitRecord;
import graderelay.quota.StoredQuota;
import graderelay.wire.QuotaCodec;
import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** This controller's cache of the stored limits and accounts of teams. */
public final class QuotaRecords {
  private static final Logger LOG = LoggerFactory.getLogger("quota");

  private final FeatureGate gate;
  private final Map<String, LimitRecord> limits = new HashMap<>();
  private final Map<String, Account> accounts = new HashMap<>();
  private long seededRevision;

  QuotaRecords(FeatureGate gate) {
    this.gate = gate;
  }

  /** True if the stored limits are in force instead of those in the settings. */
  public boolean isInForce() {
    return gate.isEnabled(Feature.STORED_LIMITS) && isSeeded();
  }

  /** True once all limits of the settings have been copied to the store. */
  public boolean isSeeded() {
    return seededRevision > 0;
  }

  /** The revision of the record that marks the limits as seeded, 0 if there is none. */
  public long seededRevision() {
    return seededRevision;
  }

  /** The stored limits of a team, or null. */
  public LimitRecord limits(String team) {
    return limits.get(team);
  }

  /** All stored limits, by team. */
  public Map<String, LimitRecord> limits() {
    return Map.copyOf(limits);
  }

  /** The stored account of a team; {@link Account#ABSENT} if there is none. */
  public Account account(String team) {
    return accounts.getOrDefault(team, Account.ABSENT);
  }

  /** A snapshot of the stored quota, labelled with the given revision. */
  public StoredQuota snapshotAt(long revision) {
    return new StoredQuota(Map.copyOf(limits), Map.copyOf(accounts), isSeeded(), revision);
  }

  /** Removes all records, before they are reloaded. */
  void clear() {
    limits.clear();
    accounts.clear();
    seededRevision = 0;
  }

  /** Applies a record; returns false if it is no quota record. */
  boolean put(String key, JsonNode value, long revision) {
    if (key.startsWith(QuotaCodec.ACCOUNTS)) {
      String team = QuotaCodec.parseTeam(key, QuotaCodec.ACCOUNTS);
      if (revision > account(team).revision()) {
        accounts.put(team, QuotaCodec.decodeAccount(value, revision));
      }
    } else if (key.startsWith(QuotaCodec.LIMITS)) {
      putLimits(QuotaCodec.parseTeam(key, QuotaCodec.LIMITS), value, revision);
    } else if (key.equals(QuotaCodec.SEEDED)) {
      seededRevision = Math.max(seededRevision, revision);
    } else {
      return false;
    }
    return true;
  }

  private void putLimits(String team, JsonNode value, long revision) {
    LimitRecord existing = limits.get(team);
    if (existing != null && revision <= existing.revision()) {
      return;
    }
    LimitRecord record = QuotaCodec.decodeLimits(value, revision);
    limits.put(team, record);
    if (record.isReadable()) {
      LOG.info(
          "stored limits of team {}: guarantee {}, limit {}, last changed by {}",
          team,
          record.quota().guarantee(),
          record.quota().limit(),
          record.changedBy());
    } else {
      LOG.error("the stored limits of team {} are malformed: {}", team, record.malformed());
    }
  }

  /** Applies the deletion of a record; returns false if it is no quota record. */
  boolean delete(String key, long revision) {
    if (key.startsWith(QuotaCodec.ACCOUNTS)) {
      String team = QuotaCodec.parseTeam(key, QuotaCodec.ACCOUNTS);
      if (revision > account(team).revision()) {
        accounts.remove(team);
      }
    } else if (key.startsWith(QuotaCodec.LIMITS)) {
      String team = QuotaCodec.parseTeam(key, QuotaCodec.LIMITS);
      LimitRecord existing = limits.get(team);
      if (existing != null && revision > existing.revision()) {
        limits.remove(team);
      }
    } else if (key.equals(QuotaCodec.SEEDED)) {
      seededRevision = revision > seededRevision ? 0 : seededRevision;
    } else {
      return false;
    }
    return true;
  }
}

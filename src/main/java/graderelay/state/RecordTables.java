package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.JobSpec;
import graderelay.features.FeatureGate;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import graderelay.wire.StoreCodec.StoreChange;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.List;

/**
 * The copy of all stored records, by concern, and the revision up to which it has seen every
 * change. Puts each record into the table of its key and tells the listener.
 */
final class RecordTables {
  final JobTable jobs;
  final FinalStateCache finalStates = new FinalStateCache();
  final FeatureRecords features;
  final ElectionRecords election;
  final QuotaRecords quota;
  final LeaderHintRecords hints = new LeaderHintRecords();

  private final RecordListener listener;
  private JsonNode settings;
  private long settingsRevision;
  private long revision;

  /**
   * All records were read; the listener is notified of settings, quota and the leader only then.
   */
  private boolean loaded;

  /** Stored limits or accounts have changed since {@link RecordListener#onQuota} was called. */
  private boolean quotaChanged;

  /** What {@link RecordListener#onLeader} tells of has changed since it was called. */
  private boolean leaderChanged;

  RecordTables(FeatureGate gate, RecordListener listener) {
    this.listener = listener;
    this.jobs = new JobTable(listener);
    this.features = new FeatureRecords(gate);
    this.election = new ElectionRecords(features);
    this.quota = new QuotaRecords(gate);
  }

  /** The operators' settings as stored, or null. */
  JsonNode settings() {
    return settings;
  }

  long settingsRevision() {
    return settingsRevision;
  }

  /** The revision up to which every change has been seen. */
  long revision() {
    return revision;
  }

  boolean isLoaded() {
    return loaded;
  }

  // ---------------------------------------------------------------- whole listings

  /** Takes the records of the election, which are read before all others. */
  void takeElection(List<Listing> listings) {
    revision = listings.get(0).revision();
    listings.forEach(this::putAll);
    features.onRecordsRead();
  }

  /** Notifies the listener of the election records. */
  void announceElection() {
    leaderChanged = false;
    listener.onLeader();
  }

  /**
   * Takes all records in place of those here. Final states stay: they never change.
   *
   * @param again true if all records were read before
   */
  void takeAll(List<Listing> listings, boolean again) {
    jobs.clear();
    election.clear(again);
    features.clear();
    quota.clear();
    hints.clearCompactHints();
    revision = listings.get(0).revision();
    listings.forEach(this::putAll);
  }

  private void putAll(Listing listing) {
    for (StoreEntry entry : listing.records()) {
      put(entry.key(), entry.value(), entry.revision());
    }
  }

  /** The listings and the first catch-up have been taken. */
  void markLoaded() {
    loaded = true;
  }

  /** Notifies the listener of everything that is not announced while records are loaded. */
  void announceLoaded() {
    listener.onLeader();
    listener.onSettings();
    listener.onQuota();
  }

  /** All records have to be read anew, since changes have been missed. */
  void markStale() {
    loaded = false;
  }

  // ---------------------------------------------------------------- changes

  /** Takes changes up to a revision; those that another read has shown already are left out. */
  void apply(List<StoreChange> changes, long upTo) {
    for (StoreChange change : changes) {
      if (change.revision() <= revision) {
        continue;
      }
      if (change instanceof StoreChange.Put written) {
        put(written.key(), written.value(), written.revision());
      } else {
        delete(change.key(), change.revision());
      }
    }
    revision = Math.max(revision, upTo);
    tellOfChanges();
  }

  private void tellOfChanges() {
    // A change of the leader's record may come with one of the level that says where it stands.
    if (leaderChanged && loaded) {
      leaderChanged = false;
      quotaChanged = true; // The level says whether stored limits are in force.
      listener.onLeader();
    }
    // Only now: the task batches of the same transactions are to be taken before the accounts.
    if (quotaChanged && loaded) {
      quotaChanged = false;
      listener.onQuota();
    }
  }

  private void put(String key, JsonNode value, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      putJob(key.substring(StateCodec.JOBS.length()), value, revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      jobs.putTaskBatch(
          StateCodec.batchOf(key), new TaskBatchEntry(StateCodec.decodeTaskBatch(value), revision));
    } else if (key.startsWith(StateCodec.FINAL_STATES)) {
      putFinalState(
          key.substring(StateCodec.FINAL_STATES.length()), StateCodec.decodeFinalState(value));
    } else if (quota.put(key, value, revision)) {
      quotaChanged = true;
    } else if (features.put(key, value, revision) || election.put(key, value, revision)) {
      leaderChanged = true;
    } else if (key.startsWith(StateCodec.LEASE_DELEGATES)) {
      listener.onDelegateReleased(
          key.substring(StateCodec.LEASE_DELEGATES.length()),
          StateCodec.decodeDelegateRelease(value));
    } else if (key.equals(StateCodec.SETTINGS)) {
      putSettings(value, revision);
    } else {
      hints.put(key, value);
    }
  }

  private void putJob(String id, JsonNode value, long revision) {
    JobEntry known = jobs.job(id);
    // The terms of a job never change, so they are decoded once.
    JobSpec spec = known == null ? StateCodec.decodeJob(id, value) : known.spec;
    jobs.putJob(spec, StateCodec.decodeStopRequested(value), revision);
  }

  private void putFinalState(String id, FinalState state) {
    finalStates.put(id, state);
    listener.onFinalState(id, state);
  }

  private void putSettings(JsonNode value, long revision) {
    if (revision <= settingsRevision) {
      return;
    }
    settings = value;
    settingsRevision = revision;
    if (loaded) {
      listener.onSettings();
    }
  }

  private void delete(String key, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      jobs.deleteJob(key.substring(StateCodec.JOBS.length()), revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      jobs.deleteTaskBatch(StateCodec.batchOf(key), revision);
    } else if (quota.delete(key, revision)) {
      quotaChanged = true;
    } else if (features.delete(key, revision) || election.delete(key, revision)) {
      leaderChanged = true;
    } else {
      hints.delete(key);
    }
  }
}

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
 * The cached records, in one table per kind, and the revision up to which every change has been
 * seen. Routes each change to the table for its key and notifies the listener.
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
   * True while all records are loaded. Changes of settings, quota and election are reported to the
   * listener only then.
   */
  private boolean loaded;

  /** True if quota records have changed since {@link RecordListener#onQuotaChanged} was called. */
  private boolean quotaChanged;

  /**
   * True if election or feature records have changed since {@link
   * RecordListener#onElectionChanged}.
   */
  private boolean electionChanged;

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

  /** Applies the election records, which are loaded before all others. */
  void applyElection(List<Listing> listings) {
    revision = listings.get(0).revision();
    listings.forEach(this::putAll);
    features.onRecordsRead();
  }

  /** Notifies the listener of the election records. */
  void notifyElectionLoaded() {
    electionChanged = false;
    listener.onElectionChanged();
  }

  /**
   * Replaces all records except the final states, which never change.
   *
   * @param isReload true if all records have been loaded before
   */
  void replaceAll(List<Listing> listings, boolean isReload) {
    revision = listings.get(0).revision();
    jobs.clear();
    election.clear(isReload, revision);
    features.clear();
    quota.clear();
    hints.clearCompactHints();
    listings.forEach(this::putAll);
  }

  private void putAll(Listing listing) {
    for (StoreEntry entry : listing.records()) {
      put(entry.key(), entry.value(), entry.revision());
    }
  }

  /** Marks the records as complete, after the listings and the catch-up have been applied. */
  void markLoaded() {
    loaded = true;
  }

  /** Notifies the listener of the records whose changes are not reported during a load. */
  void notifyLoaded() {
    listener.onElectionChanged();
    listener.onSettingsChanged();
    listener.onQuotaChanged();
  }

  /** Marks the records as incomplete: changes have been missed, so all have to be reloaded. */
  void markStale() {
    loaded = false;
  }

  // ---------------------------------------------------------------- changes

  /** Applies the changes up to a revision, except those that another read has already returned. */
  void apply(List<StoreChange> changes, long upToRevision) {
    for (StoreChange change : changes) {
      if (change.revision() <= revision) {
        continue;
      }
      if (change instanceof StoreChange.Put update) {
        put(update.key(), update.value(), update.revision());
      } else {
        delete(change.key(), change.revision());
      }
    }
    revision = Math.max(revision, upToRevision);
    notifyChanges();
  }

  private void notifyChanges() {
    // The leader's record may change together with the feature level that determines its key.
    if (electionChanged && loaded) {
      electionChanged = false;
      quotaChanged = true; // The feature level determines whether stored limits are in force.
      listener.onElectionChanged();
    }
    // Last: the listener has to see the task batches of a transaction before its accounts.
    if (quotaChanged && loaded) {
      quotaChanged = false;
      listener.onQuotaChanged();
    }
  }

  private void put(String key, JsonNode value, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      putJob(key.substring(StateCodec.JOBS.length()), value, revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      jobs.putTaskBatch(
          StateCodec.parseTaskBatchKey(key),
          new TaskBatchEntry(StateCodec.decodeTaskBatch(value), revision));
    } else if (key.startsWith(StateCodec.FINAL_STATES)) {
      putFinalState(
          key.substring(StateCodec.FINAL_STATES.length()), StateCodec.decodeFinalState(value));
    } else if (quota.put(key, value, revision)) {
      quotaChanged = true;
    } else if (features.put(key, value, revision) || election.put(key, value, revision)) {
      electionChanged = true;
    } else if (key.startsWith(StateCodec.DELEGATE_RELEASES)) {
      listener.onDelegateReleased(
          key.substring(StateCodec.DELEGATE_RELEASES.length()),
          StateCodec.decodeDelegateRelease(value));
    } else if (key.equals(StateCodec.SETTINGS)) {
      putSettings(value, revision);
    } else {
      hints.put(key, value);
    }
  }

  private void putJob(String id, JsonNode value, long revision) {
    JobEntry existing = jobs.job(id);
    // The specification of a job never changes, so it is decoded only once.
    JobSpec spec = existing == null ? StateCodec.decodeJob(id, value) : existing.spec;
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
      listener.onSettingsChanged();
    }
  }

  private void delete(String key, long revision) {
    if (key.startsWith(StateCodec.JOBS)) {
      jobs.deleteJob(key.substring(StateCodec.JOBS.length()), revision);
    } else if (key.startsWith(StateCodec.TASK_BATCHES)) {
      jobs.deleteTaskBatch(StateCodec.parseTaskBatchKey(key), revision);
    } else if (quota.delete(key, revision)) {
      quotaChanged = true;
    } else if (features.delete(key, revision) || election.delete(key, revision)) {
      electionChanged = true;
    } else {
      hints.delete(key);
    }
  }
}

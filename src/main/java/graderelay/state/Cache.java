package graderelay.state;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.TaskBatchKey;
import graderelay.features.FeatureGate;
import graderelay.net.Loop;
import graderelay.wire.FeatureCodec;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This controller's cache of the live records, kept up to date by a watch. All of it may be stale
 * except final states, which never change. Callers that need a linearizable read request a catch-up
 * first; concurrent callers share one.
 */
public final class Cache {
  private static final Logger LOG = LoggerFactory.getLogger("cache");

  private final RecordTables tables;
  private final Freshness freshness = new Freshness();
  private final FullLoad fullLoad;
  private final CatchUpReader catchUpReader;
  private final WatchLoop watchLoop;

  /**
   * Creates an empty cache. From now on every transaction of {@code stateClient} is conditioned on
   * the feature level in this cache.
   */
  public Cache(Loop loop, StateClient stateClient, FeatureGate gate, RecordListener listener) {
    this.tables = new RecordTables(gate, listener);
    this.catchUpReader =
        new CatchUpReader(loop, stateClient, tables::revision, this::onChangesRead);
    this.watchLoop = new WatchLoop(loop, stateClient, tables::revision, this::onChangesRead);
    this.fullLoad = new FullLoad(loop, stateClient, tables, catchUpReader::catchUp, this::onLoaded);
    stateClient.setFence(
        FeatureCodec.LEVEL, tables.features::levelRevision, () -> !gate.isClosed());
  }

  // ---------------------------------------------------------------- reads of the store

  /** Starts to read all records and then to watch for changes. */
  public void start() {
    fullLoad.start();
  }

  /** Stops the watch and prevents further loads. */
  public void close() {
    fullLoad.close();
    watchLoop.close();
  }

  /**
   * Calls back with true once the cache contains everything that was committed before this call, or
   * with false if it could not be brought up to date.
   */
  public void catchUp(Consumer<Boolean> done) {
    catchUpReader.catchUp(done);
  }

  private void onLoaded() {
    boolean wasLoaded = tables.isLoaded();
    tables.markLoaded();
    freshness.onLoaded();
    if (!wasLoaded) {
      LOG.info("loaded {} jobs at revision {}", jobs().size(), observedRevision());
    }
    tables.notifyLoaded();
    watchLoop.start();
  }

  private boolean onChangesRead(StoreResult result, long afterRevision, double sentAt) {
    if (result.succeeded()) {
      return applyChanges(result, afterRevision, sentAt);
    }
    if (result.outcome() == StoreOutcome.NOT_FOUND) {
      // The store has compacted the changes since the cached revision.
      tables.markStale();
      fullLoad.start();
    }
    return false;
  }

  /**
   * Applies changes unless a full load has reset the cache, while the read was in flight, to the
   * revision at which that load began. The response then lacks the changes between the two
   * revisions. Applying it would lose them permanently, and users would be told that accepted jobs
   * among them are unknown.
   */
  private boolean applyChanges(StoreResult result, long afterRevision, double sentAt) {
    if (afterRevision > tables.revision()) {
      return false;
    }
    tables.apply(result.changes(), result.revision());
    freshness.onRead(sentAt, tables.isLoaded());
    return true;
  }

  // ---------------------------------------------------------------- freshness

  /** True while all records have been loaded and no change has been missed. */
  public boolean isLoaded() {
    return tables.isLoaded();
  }

  /** True once the leader and the term have been loaded. */
  public boolean isElectionLoaded() {
    return fullLoad.isElectionLoaded();
  }

  /** The time before which every committed change has been seen. */
  public double linearizableAsOf() {
    return freshness.linearizableAsOf();
  }

  /** The time before which every committed job, task batch and cancellation is in the cache. */
  public double completeAsOf() {
    return freshness.completeAsOf();
  }

  /** The revision up to which every change has been seen. */
  public long observedRevision() {
    return tables.revision();
  }

  // ---------------------------------------------------------------- jobs

  /** A live job, or null. */
  public JobEntry job(String id) {
    return tables.jobs.job(id);
  }

  /** All live jobs, by id. */
  public Map<String, JobEntry> jobs() {
    return tables.jobs.jobs();
  }

  /** Task batches whose job record has been deleted. */
  public Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches() {
    return tables.jobs.orphanedTaskBatches();
  }

  /** Live jobs whose cancellation is recorded. */
  public Set<String> cancelledJobs() {
    return tables.jobs.cancelledJobs();
  }

  /** The cached final state of a job, or null; it may still exist in the store. */
  public FinalState finalState(String id) {
    return tables.finalStates.get(id);
  }

  /** Caches a final state that was read from the store. */
  public void cacheFinalState(String id, FinalState stateClient) {
    tables.finalStates.put(id, stateClient);
  }

  // ---------------------------------------------------------------- other records

  /** The stored records of feature levels. */
  public FeatureRecords features() {
    return tables.features;
  }

  /** The stored records of the leader, the term and suspensions. */
  public ElectionRecords election() {
    return tables.election;
  }

  /** The stored records of limits and accounts. */
  public QuotaRecords quota() {
    return tables.quota;
  }

  /** The hints that leaders store for their successors. */
  public LeaderHintRecords hints() {
    return tables.hints;
  }

  /** The leader record, or null if there is none. */
  public StateCodec.LeaderRecord leader() {
    return election().leader();
  }

  /** The revision of the leader record, on which a leader conditions its writes; 0 if none. */
  public long leaderRevision() {
    return election().leaderRevision();
  }

  /** The highest term won so far, 0 before the first election. */
  public long term() {
    return election().term();
  }

  /** The suspension of a controller, or null. */
  public StateCodec.Suspension suspension(String member) {
    return election().suspension(member);
  }

  /** The operators' settings as stored, or null. */
  public JsonNode settings() {
    return tables.settings();
  }

  /** The revision of the settings record, 0 if no settings were stored. */
  public long settingsRevision() {
    return tables.settingsRevision();
  }
}

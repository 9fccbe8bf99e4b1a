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
 * This controller's copy of the live records, fed by a watch. It may be stale for everything but
 * final states; callers that need the present state request a catch-up first, which many can share.
 */
public final class Cache {
  private static final Logger LOG = LoggerFactory.getLogger("cache");

  private final RecordTables tables;
  private final Freshness freshness = new Freshness();
  private final InitialLoad initialLoad;
  private final CatchUpReads catchUpReads;
  private final WatchLoop watchLoop;

  /**
   * Makes the copy; every transaction of {@code state} is conditioned on the feature level that it
   * shows.
   */
  public Cache(Loop loop, StateClient state, FeatureGate gate, RecordListener listener) {
    this.tables = new RecordTables(gate, listener);
    this.catchUpReads = new CatchUpReads(loop, state, tables::revision, this::onChangesRead);
    this.watchLoop = new WatchLoop(loop, state, tables::revision, this::onChangesRead);
    this.initialLoad = new InitialLoad(loop, state, tables, catchUpReads::catchUp, this::onLoaded);
    state.fenceBy(FeatureCodec.LEVEL, tables.features::levelRevision, () -> !gate.isShut());
  }

  // ---------------------------------------------------------------- reads of the store

  /** Reads all records, and then watches their changes. */
  public void start() {
    initialLoad.start();
  }

  /** Ends the watch. */
  public void close() {
    initialLoad.close();
    watchLoop.close();
  }

  /** Calls back with true once everything that had committed before this call has been seen. */
  public void catchUp(Consumer<Boolean> done) {
    catchUpReads.catchUp(done);
  }

  private void onLoaded() {
    boolean wasLoaded = tables.isLoaded();
    tables.markLoaded();
    freshness.onLoaded();
    if (!wasLoaded) {
      LOG.info("loaded {} jobs at revision {}", jobs().size(), revisionSeen());
    }
    tables.announceLoaded();
    watchLoop.start();
  }

  private boolean onChangesRead(StoreResult result, long after, double sentAt) {
    if (result.succeeded()) {
      return takeChanges(result, after, sentAt);
    }
    if (result.outcome() == StoreOutcome.NOT_FOUND) {
      // The store no longer has the changes since our revision.
      tables.markStale();
      initialLoad.start();
    }
    return false;
  }

  /**
   * A load that is taken while a read is on its way puts the copy back to the revision at which the
   * load began. The read's answer lacks the changes between the two: taking it would leave them out
   * for good, and accepted jobs among them would be answered as unknown.
   */
  private boolean takeChanges(StoreResult result, long after, double sentAt) {
    if (after > tables.revision()) {
      return false;
    }
    tables.apply(result.changes(), result.revision());
    freshness.onRead(sentAt, tables.isLoaded());
    return true;
  }

  // ---------------------------------------------------------------- freshness

  /** True while all records have been read and no change has been missed. */
  public boolean loaded() {
    return tables.isLoaded();
  }

  /** True once this controller knows who led, and with which term, when it began to read. */
  public boolean electionLoaded() {
    return initialLoad.isElectionLoaded();
  }

  /** Every change that had committed before this time has been seen. */
  public double linearizableAt() {
    return freshness.linearizableAt();
  }

  /** Every job, task batch and cancellation that had committed before this time is in the copy. */
  public double completeAsOf() {
    return freshness.completeAsOf();
  }

  /** The revision up to which every change has been seen. */
  public long revisionSeen() {
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

  /** Task batches whose job's record is gone. */
  public Map<TaskBatchKey, TaskBatchEntry> orphanedTaskBatches() {
    return tables.jobs.orphanedTaskBatches();
  }

  /** Live jobs whose cancellation is recorded. */
  public Set<String> cancelledJobs() {
    return tables.jobs.cancelledJobs();
  }

  /** A final state that this controller knows already, or null. */
  public FinalState finalState(String id) {
    return tables.finalStates.get(id);
  }

  /** Remembers a final state that was read from the store. */
  public void rememberFinalState(String id, FinalState state) {
    tables.finalStates.put(id, state);
  }

  // ---------------------------------------------------------------- other records

  /** What is stored of feature levels. */
  public FeatureRecords features() {
    return tables.features;
  }

  /** What is stored of leader, term and suspensions. */
  public ElectionRecords election() {
    return tables.election;
  }

  /** What is stored of limits and accounts. */
  public QuotaRecords quota() {
    return tables.quota;
  }

  /** What leaders have left for their successors. */
  public LeaderHintRecords hints() {
    return tables.hints;
  }

  /** Who leads, or null. */
  public StateCodec.LeaderRecord leader() {
    return election().leader();
  }

  /** The revision of the leader record, 0 if there is none: the condition of a leader's writes. */
  public long leaderRevision() {
    return election().leaderRevision();
  }

  /** The highest term that was ever won, 0 before the first election. */
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

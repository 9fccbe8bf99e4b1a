package graderelay.service;

import graderelay.core.TaskBatchKey;
import graderelay.state.Cache;
import graderelay.state.JobEntry;
import graderelay.state.RecordListener;
import graderelay.state.TaskBatchEntry;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import java.util.function.Consumer;

/**
 * Dispatches changes of the stored records to the components that handle them. The cache needs its
 * listener before those components exist, so they are connected afterwards.
 */
final class RecordChangeDispatcher implements RecordListener {
  /**
   * The components that handle changed records.
   *
   * @param leaderLifecycle provides the current leader term, if there is one
   * @param onLeaderRecordChanged called after a change of the leader record
   * @param onQuotaRecordsChanged called after a change of stored limits or accounts
   * @param operatorSettings the operators' settings, reloaded when their record changes
   */
  record Targets(
      LeaderLifecycle leaderLifecycle,
      Runnable onLeaderRecordChanged,
      Runnable onQuotaRecordsChanged,
      StoredOperatorSettings operatorSettings) {}

  private Cache cache;
  private Targets targets;

  /** Connects the components; must be called once, before the cache starts. */
  void connect(Cache cache, Targets targets) {
    this.cache = cache;
    this.targets = targets;
  }

  @Override
  public void onJobChanged(JobEntry job) {
    ifLeading(records -> records.onJob(job));
  }

  @Override
  public void onJobDeleted(String job) {
    ifLeading(records -> records.onJobDeleted(job));
  }

  @Override
  public void onTaskBatchChanged(TaskBatchKey key, TaskBatchEntry batch) {
    ifLeading(records -> records.onTaskBatch(key, batch));
  }

  @Override
  public void onTaskBatchDeleted(TaskBatchKey key) {
    ifLeading(records -> records.onTaskBatchDeleted(key));
  }

  @Override
  public void onFinalState(String job, FinalState finalState) {
    ifLeading(records -> records.onFinalState(job, finalState));
  }

  @Override
  public void onElectionChanged() {
    targets.onLeaderRecordChanged().run();
  }

  @Override
  public void onQuotaChanged() {
    targets.onQuotaRecordsChanged().run();
    ifLeading(RecordFeed::onQuotaChanged);
  }

  @Override
  public void onDelegateReleased(String member, StateCodec.DelegateRelease release) {
    ifLeading(records -> records.onDelegateReleased(member, release));
  }

  @Override
  public void onSettingsChanged() {
    var changed = targets.operatorSettings().reload(cache.settings());
    targets.leaderLifecycle().ifLeading(term -> term.onSettings(changed));
  }

  private void ifLeading(Consumer<RecordFeed> change) {
    targets.leaderLifecycle().ifLeading(term -> change.accept(term.recordFeed()));
  }
}

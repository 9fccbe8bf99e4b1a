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
 * Passes changes of the stored records on to the parts of this controller that act on them. The
 * cache needs its listener before those parts exist, so they are connected afterwards.
 */
final class RecordChangeDispatcher implements RecordListener {
  /**
   * The parts that act on changed records.
   *
   * @param leader the leader's term, while this controller leads
   * @param onLeaderRecord called after a change of the leader record
   * @param onQuotaRecords called after a change of stored limits or accounts
   * @param operators the operators' settings, read anew when their record changes
   */
  record Targets(
      LeaderLifecycle leader,
      Runnable onLeaderRecord,
      Runnable onQuotaRecords,
      StoredOperatorSettings operators) {}

  private Cache cache;
  private Targets targets;

  /** Connects the parts; to be called once, before the cache starts to read. */
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
    ifLeading(records -> records.onJobGone(job));
  }

  @Override
  public void onTaskBatchChanged(TaskBatchKey key, TaskBatchEntry batch) {
    ifLeading(records -> records.onTaskBatch(key, batch));
  }

  @Override
  public void onTaskBatchDeleted(TaskBatchKey key) {
    ifLeading(records -> records.onTaskBatchGone(key));
  }

  @Override
  public void onFinalState(String job, FinalState end) {
    ifLeading(records -> records.onEnd(job, end));
  }

  @Override
  public void onElectionChanged() {
    targets.onLeaderRecord().run();
  }

  @Override
  public void onQuotaChanged() {
    targets.onQuotaRecords().run();
    ifLeading(TermRecords::onQuota);
  }

  @Override
  public void onDelegateReleased(String member, StateCodec.DelegateRelease release) {
    ifLeading(records -> records.onLeaseDelegateReleased(member, release));
  }

  @Override
  public void onSettingsChanged() {
    var changed = targets.operators().reload(cache.settings());
    targets.leader().ifLeading(term -> term.onSettings(changed));
  }

  private void ifLeading(Consumer<TermRecords> change) {
    targets.leader().ifLeading(term -> change.accept(term.records()));
  }
}

package graderelay.state;

import graderelay.core.TaskBatchKey;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;

/** Receives changes of the stored records in the order of their revisions. */
public interface RecordListener {
  /** Called when a job was accepted or its record has changed. */
  void onJobChanged(JobEntry job);

  /** Called when a job's record was deleted. */
  void onJobDeleted(String id);

  /** Called when a task batch was created or has changed. */
  void onTaskBatchChanged(TaskBatchKey key, TaskBatchEntry taskBatch);

  /** Called when a task batch's record was deleted. */
  void onTaskBatchDeleted(TaskBatchKey key);

  /** Called when a job has reached its final state. */
  void onFinalState(String id, FinalState state);

  /** Called when the leader, the term, a suspension or the feature level may have changed. */
  void onElectionChanged();

  /** Called when the operators' settings may have changed. */
  void onSettingsChanged();

  /** Called when stored limits or accounts, or whether they are in force, may have changed. */
  void onQuotaChanged();

  /** Called when a lease delegate has released grants. */
  void onDelegateReleased(String member, StateCodec.DelegateRelease release);
}

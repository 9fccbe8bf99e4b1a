package graderelay.state;

import graderelay.core.TaskBatchKey;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;

/** Hears of changes of the stored records, in the order of their revisions. */
public interface RecordListener {
  /** A job was accepted, or its record has changed. */
  void onJob(JobEntry job);

  /** A job's record was deleted. */
  void onJobGone(String id);

  /** A task batch was created or has changed. */
  void onTaskBatch(TaskBatchKey key, TaskBatchEntry taskBatch);

  /** A task batch's record was deleted. */
  void onTaskBatchGone(TaskBatchKey key);

  /** A job has reached its final state. */
  void onFinalState(String id, FinalState state);

  /** The leader, the term, a suspension or the feature level may have changed. */
  void onLeader();

  /** The operators' settings may have changed. */
  void onSettings();

  /** Stored limits or accounts may have changed, or whether they are in force. */
  void onQuota();

  /** A lease delegate has released grants. */
  void onDelegateReleased(String member, StateCodec.DelegateRelease release);
}

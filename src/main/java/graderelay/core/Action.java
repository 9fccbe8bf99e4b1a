package graderelay.core;

import graderelay.quota.AccountChange;
import graderelay.quota.AccountDiscrepancy;
import java.util.List;
import java.util.Map;

/**
 * An action that the core asks its caller to carry out. The outcome comes back as an event of
 * {@link Scheduler} under the same id or names.
 */
public sealed interface Action {

  /**
   * One transaction: every part is conditioned on the leader record, on the revision of each
   * changed record, and, for claims, on the revision of the job, so that a cancellation and a claim
   * compete. With stored limits the accounts of the teams whose claims it holds are among the
   * records.
   */
  record Write(
      long id,
      List<TaskBatchPut> taskBatches,
      List<JobEnd> ends,
      List<TaskBatchDrop> drops,
      List<AccountChange> accounts)
      implements Action {}

  /**
   * Replaces a task batch's record if it is still at revision {@code revision}. {@code jobRevision}
   * is the job's revision that was checked.
   */
  record TaskBatchPut(TaskBatchKey key, long revision, TaskBatchRecord record, long jobRevision) {}

  /** Replaces a job by its final record and drops the task batches named. */
  record JobEnd(
      String job,
      long jobRevision,
      boolean cancelled,
      int tasks,
      List<TaskBatchDrop> taskBatches) {}

  /** Removes a task batch's record that no longer has a job. */
  record TaskBatchDrop(TaskBatchKey key, long revision) {}

  /**
   * Sends commands straight to a worker; an empty list of them is a probe.
   *
   * @param session the incarnation of the worker that they are for
   * @param term the fencing token that they go under
   */
  record SendCommands(
      String machine, String address, long session, long term, List<WorkerCommand> commands)
      implements Action {}

  /** Scales out: creates machines. */
  record ScaleOut(long id, String type, String zone, boolean spot, int count) implements Action {}

  /** Scales in: deletes machines. */
  record ScaleIn(List<String> machines) implements Action {}

  /** Asks for a new term for this same leader, to fence unacknowledged launches. */
  record RaiseTerm() implements Action {}

  /**
   * Stores the demand of the last minutes, so that the next leader doesn't scale in machines that
   * will be needed. Ages are in seconds.
   */
  record KeepDemand(List<Demand> classes) implements Action {}

  /** What arrived of one class: its latest job, and age and size of each recent one. */
  record Demand(JobSpec latest, List<double[]> arrivals) {}

  /**
   * Stores which images machines have, so that the next leader finds the warm ones. {@code part} is
   * one of a few records that share the machines.
   */
  record KeepImages(int part, Map<String, List<String>> machines) implements Action {}

  /** Asks for the final records of jobs that others depend on. */
  record FindEnds(List<String> jobs) implements Action {}

  /**
   * An event to be counted in the metrics.
   *
   * @param what "started", or how a task ended
   * @param waitedS seconds that a started task's job waited, or less than 0 for an end
   */
  record MetricEvent(String what, double waitedS) implements Action {}

  /** A team's account is not what its committed claims make it. */
  record DifferenceFound(AccountDiscrepancy difference) implements Action {}

  /** One line for the log. */
  record LogLine(String text) implements Action {}
}

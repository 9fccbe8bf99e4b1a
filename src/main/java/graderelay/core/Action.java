package graderelay.core;

import graderelay.quota.AccountChange;
import graderelay.quota.AccountDiscrepancy;
import java.util.List;
import java.util.Map;

/**
 * An action that the scheduling core requests from its caller. Its outcome is reported to {@link
 * Scheduler} as an event with the same id or names.
 */
public sealed interface Action {

  /**
   * One compare-and-swap transaction. It commits only if the leader record and every changed record
   * are at the expected revisions. A claim also requires the job's revision, so that of a
   * cancellation and a concurrent claim only one commits. With stored limits, the transaction also
   * changes the accounts of the teams whose tasks it claims.
   */
  record Write(
      long id,
      List<TaskBatchPut> taskBatches,
      List<JobEnd> jobEnds,
      List<TaskBatchDelete> taskBatchDeletes,
      List<AccountChange> accountChanges)
      implements Action {}

  /**
   * Replaces the record of a task batch.
   *
   * @param revision revision that the record must have
   * @param jobRevision revision of the job that the change is based on
   */
  record TaskBatchPut(TaskBatchKey key, long revision, TaskBatchRecord record, long jobRevision) {}

  /** Replaces a job with its final record and deletes its task batches. */
  record JobEnd(
      String job,
      long jobRevision,
      boolean cancelled,
      int tasks,
      List<TaskBatchDelete> taskBatches) {}

  /**
   * Deletes the record of a task batch whose job is ending or gone, if it is still at revision
   * {@code revision}.
   */
  record TaskBatchDelete(TaskBatchKey key, long revision) {}

  /**
   * Sends commands directly to a worker; an empty list is a probe.
   *
   * @param session incarnation of the worker to which the commands apply
   * @param term fencing token of the commands
   */
  record SendCommands(
      String machine, String address, long session, long term, List<WorkerCommand> commands)
      implements Action {}

  /** Requests {@code count} new machines from the cloud. */
  record ScaleOut(long id, String type, String zone, boolean spot, int count) implements Action {}

  /** Requests the deletion of machines from the cloud. */
  record ScaleIn(List<String> machines) implements Action {}

  /**
   * Requests a higher term for this same leader, to fence off launch commands without a response.
   */
  record RaiseTerm() implements Action {}

  /**
   * Stores the demand of the last minutes, so that a new leader doesn't scale in machines that will
   * be needed.
   */
  record StoreDemand(List<Demand> classes) implements Action {}

  /**
   * The recent arrivals of one job class.
   *
   * @param latest spec of the latest job of the class
   * @param arrivals age in seconds and number of tasks of each recent job
   */
  record Demand(JobSpec latest, List<double[]> arrivals) {}

  /**
   * Stores which images the machines of one shard have, so that a new leader can place tasks on
   * machines with their image.
   */
  record StoreImages(int shard, Map<String, List<String>> imagesByMachine) implements Action {}

  /** Requests the final records of jobs that other jobs depend on. */
  record FetchFinalRecords(List<String> jobs) implements Action {}

  /**
   * A task event to be counted in the metrics.
   *
   * @param event "started", or how the task ended
   * @param waitedS waiting time of a started task's job in seconds; negative for an end
   */
  record MetricEvent(String event, double waitedS) implements Action {}

  /** Reports that a team's account differs from the sum of its committed claims. */
  record AccountDiscrepancyFound(AccountDiscrepancy discrepancy) implements Action {}

  /** Writes a line to the log. */
  record LogLine(String text) implements Action {}

  /** Writes a warning to the log. */
  record Warning(String text) implements Action {}
}

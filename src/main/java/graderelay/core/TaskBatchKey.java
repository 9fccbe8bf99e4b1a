package graderelay.core;

/**
 * Identifies a task batch: those tasks of a job that share one stored record, so that one
 * compare-and-swap can claim all of them. Stored under {@code g/slice/JOB/INDEX}.
 *
 * @param job the job's id
 * @param index the batch's number within the job, from 0
 */
public record TaskBatchKey(String job, int index) {}

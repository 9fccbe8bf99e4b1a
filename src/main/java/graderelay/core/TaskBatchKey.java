package graderelay.core;

/**
 * Names one task batch: the part of a job array's tasks that one stored record holds and one
 * compare-and-swap claims. Stored under {@code g/slice/JOB/INDEX}.
 *
 * @param job the job's id
 * @param index the batch's number within the job, from 0
 */
public record TaskBatchKey(String job, int index) {}

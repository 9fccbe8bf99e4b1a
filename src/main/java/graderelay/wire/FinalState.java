package graderelay.wire;

/**
 * The final state of a job.
 *
 * @param cancelled true if the job was cancelled, false if it is done
 * @param tasks the number of its tasks
 * @param writtenAtMs the time of day at which the record was written, in milliseconds; 0 in records
 *     of versions that don't say
 */
public record FinalState(boolean cancelled, int tasks, long writtenAtMs) {}

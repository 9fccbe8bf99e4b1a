package graderelay.wire;

/**
 * The final state of a job.
 *
 * @param cancelled true if the job was cancelled, false if it completed
 * @param tasks the number of its tasks
 * @param writtenAtMs the time at which the record was written, in milliseconds since the epoch; 0
 *     if an older version wrote the record without the time
 */
public record FinalState(boolean cancelled, int tasks, long writtenAtMs) {}

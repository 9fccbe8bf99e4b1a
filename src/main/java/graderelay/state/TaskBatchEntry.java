package graderelay.state;

import graderelay.core.TaskBatchRecord;

/**
 * A task batch in the cache.
 *
 * @param record the stored record
 * @param revision the revision at which it was last changed
 */
public record TaskBatchEntry(TaskBatchRecord record, long revision) {}

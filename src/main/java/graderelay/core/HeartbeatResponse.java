package graderelay.core;

import java.util.List;

/**
 * The leader's response to a heartbeat, which renews the worker's lease.
 *
 * @param term fencing token; the worker refuses commands of lower terms from then on
 * @param commands commands for the worker, in order
 */
public record HeartbeatResponse(long term, List<WorkerCommand> commands) {}

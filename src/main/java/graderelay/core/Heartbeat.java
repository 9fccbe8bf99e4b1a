package graderelay.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker's heartbeat: its status and the status of its task attempts. The wire protocol calls it
 * a report; {@code graderelay.wire.WorkerCodec} does the mapping.
 *
 * @param session the worker's incarnation (agent epoch), which increases with every restart
 * @param seq the heartbeat's sequence number within its incarnation
 * @param term the highest term the worker has seen
 * @param interruptionNoticeS seconds until the cloud reclaims the machine, or null without an
 *     interruption notice
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long term,
    Double interruptionNoticeS,
    List<TaskStatus> tasks) {

  /** State of a task attempt on the worker. */
  public enum Stage {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Status of one task attempt; {@code exitReason} is empty unless the attempt has exited. */
  public record TaskStatus(
      String task, int attempt, Stage stage, String exitReason, boolean saved) {}

  /** Compares by session first, then by sequence number. */
  public boolean isNewerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }

  /** Returns the status of each listed task by its attempt. */
  Map<AttemptKey, TaskStatus> statusByAttempt() {
    Map<AttemptKey, TaskStatus> statusByAttempt = new HashMap<>();
    for (TaskStatus status : tasks) {
      statusByAttempt.put(AttemptKey.of(status), status);
    }
    return statusByAttempt;
  }
}

package graderelay.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker's heartbeat with status: what it says of itself and of the task attempts it holds. The
 * wire protocol calls it a report ({@code graderelay.wire.WorkerCodec} maps it once).
 *
 * @param session the worker's incarnation (agent epoch); a restarted worker has a larger one
 * @param seq the heartbeat's sequence number within its incarnation
 * @param term the highest term the worker has seen
 * @param noticeS seconds until the cloud takes the machine, or null
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
    Double noticeS,
    List<Entry> tasks) {

  /** State of a task on the worker. */
  public enum Stage {
    FETCHING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** One task on the worker; {@code why} is empty unless it has exited. */
  public record Entry(String task, int attempt, Stage stage, String why, boolean saved) {}

  /** Newer means the larger session, then the larger sequence. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }

  /** The tasks on the worker, by the attempt that each entry names. */
  Map<AttemptKey, Entry> entriesByAttempt() {
    Map<AttemptKey, Entry> entries = new HashMap<>();
    for (Entry entry : tasks) {
      entries.put(AttemptKey.of(entry), entry);
    }
    return entries;
  }
}

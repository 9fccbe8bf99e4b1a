package graderelay.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The stored record of one task batch: up to as many tasks of one job array as the job's batch
 * capacity. It is the truth about which attempt of which task is claimed on which machine and
 * incarnation (session). Immutable: a change makes a copy.
 */
public final class TaskBatchRecord {
  /** Bytes that one task takes in a task batch record at most, machine name included. */
  public static final int BATCH_BYTES_PER_TASK = 32;

  /** Bytes of an empty record's stored form, at most. */
  private static final int EMPTY_BYTES = 32;

  /** Below this a number is one character of one byte, see the codec; the backslash takes two. */
  private static final int ONE_BYTE = 50;

  private final int[] attempts;
  private final String[] machines;
  private final long[] sessions;
  private final boolean[] done;

  /** Stored in fewer bytes, which earlier versions can't read. */
  private boolean packed;

  /**
   * A record of {@code attempts.length} tasks; the four arrays have that length and are taken, not
   * copied. Task {@code i} is the batch's {@code i}-th task.
   */
  public TaskBatchRecord(int[] attempts, String[] machines, long[] sessions, boolean[] done) {
    this.attempts = attempts;
    this.machines = machines;
    this.sessions = sessions;
    this.done = done;
  }

  /** A task batch none of whose tasks was ever claimed. */
  public static TaskBatchRecord fresh(int tasks) {
    return new TaskBatchRecord(
        new int[tasks], new String[tasks], new long[tasks], new boolean[tasks]);
  }

  /** The number of tasks in the batch. */
  public int size() {
    return attempts.length;
  }

  /** The number of the last attempt, 0 if the task was never claimed. */
  public int attempt(int i) {
    return attempts[i];
  }

  /** The machine task {@code i} is claimed on, or null. */
  public String machine(int i) {
    return machines[i];
  }

  /** The incarnation (session) of the machine's worker that task {@code i} is claimed on. */
  public long session(int i) {
    return sessions[i];
  }

  /** True if task {@code i} is done. */
  public boolean done(int i) {
    return done[i];
  }

  /** The number of tasks that are done. */
  public int doneCount() {
    int count = 0;
    for (boolean taskDone : done) {
      count += taskDone ? 1 : 0;
    }
    return count;
  }

  /** The number of tasks that are claimed on a machine. */
  public int claimedCount() {
    int count = 0;
    for (String machine : machines) {
      count += machine != null ? 1 : 0;
    }
    return count;
  }

  /** True if it is to be stored in fewer bytes, in a form that earlier versions can't read. */
  public boolean packed() {
    return packed;
  }

  /** The same, to be stored in that form. */
  public TaskBatchRecord packedCopy() {
    TaskBatchRecord copy = copy();
    copy.packed = true;
    return copy;
  }

  /**
   * Upper bound on the bytes of its stored form.
   *
   * @param small whether it is stored in the packed form, with a character for each small number
   */
  int bytes(boolean small) {
    int bytes = EMPTY_BYTES;
    Map<String, Integer> placeByIncarnation = new HashMap<>();
    for (int i = 0; i < attempts.length; i++) {
      String machine = machines[i];
      Integer place = null;
      if (machine != null) {
        String incarnation = machine + "#" + sessions[i];
        place = placeByIncarnation.get(incarnation);
        if (place == null) {
          place = placeByIncarnation.size();
          placeByIncarnation.put(incarnation, place);
          bytes += machine.length() + 6 + digits(sessions[i]);
        }
      }
      if (small) {
        bytes += (attempts[i] < ONE_BYTE ? 1 : 3) + (place == null || place < ONE_BYTE ? 1 : 3);
      } else {
        bytes += digits(attempts[i]) + 1 + (place == null ? 3 : digits(place) + 1);
      }
    }
    return bytes;
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }

  /** A copy that may be changed by {@link #claim} and {@link #release} before it is shared. */
  TaskBatchRecord copy() {
    return new TaskBatchRecord(attempts.clone(), machines.clone(), sessions.clone(), done.clone());
  }

  /** Only on a fresh copy: claims task i for a new attempt. */
  void claim(int i, int attempt, String machine, long session) {
    attempts[i] = attempt;
    machines[i] = machine;
    sessions[i] = session;
  }

  /** Only on a fresh copy: ends the claim of task i. */
  void release(int i, boolean isDone) {
    machines[i] = null;
    sessions[i] = 0;
    done[i] |= isDone;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof TaskBatchRecord record
        && Arrays.equals(attempts, record.attempts)
        && Arrays.equals(machines, record.machines)
        && Arrays.equals(sessions, record.sessions)
        && Arrays.equals(done, record.done);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(attempts) * 31 + Arrays.hashCode(machines);
  }
}

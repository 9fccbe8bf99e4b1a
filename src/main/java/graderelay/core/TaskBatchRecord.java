package graderelay.core;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The stored record of one task batch, which holds up to the job's batch capacity of tasks. It is
 * the source of truth for which attempt of which task is claimed on which machine and incarnation
 * (session). Immutable once shared: changes are made on a copy.
 */
public final class TaskBatchRecord {
  /** Upper bound on the bytes of one task in a task batch record, including the machine name. */
  public static final int MAX_BYTES_PER_TASK = 32;

  /** Upper bound on the bytes of an empty record's stored form. */
  private static final int MAX_EMPTY_BYTES = 32;

  /**
   * Lower numbers are stored as one character of one byte in the packed form, see {@code
   * graderelay.wire.TaskBatchRecordCodec}. Higher ones may need more: the backslash takes two
   * bytes.
   */
  private static final int ONE_BYTE_NUMBER_LIMIT = 50;

  private final int[] attempts;
  private final String[] machines;
  private final long[] sessions;
  private final boolean[] done;

  /** True if it is stored in the packed form, which earlier versions cannot read. */
  private boolean packed;

  /**
   * Creates a record of {@code attempts.length} tasks. All four arrays have this length and are not
   * copied; index {@code i} is the batch's {@code i}-th task.
   */
  public TaskBatchRecord(int[] attempts, String[] machines, long[] sessions, boolean[] done) {
    this.attempts = attempts;
    this.machines = machines;
    this.sessions = sessions;
    this.done = done;
  }

  /** Creates the record of a task batch of which no task has ever been claimed. */
  public static TaskBatchRecord unclaimed(int tasks) {
    return new TaskBatchRecord(
        new int[tasks], new String[tasks], new long[tasks], new boolean[tasks]);
  }

  /** The number of tasks in the batch. */
  public int size() {
    return attempts.length;
  }

  /** The number of task {@code i}'s last attempt, or 0 if it was never claimed. */
  public int attempt(int i) {
    return attempts[i];
  }

  /** The machine on which task {@code i} is claimed, or null. */
  public String machine(int i) {
    return machines[i];
  }

  /** The incarnation (session) of the worker on which task {@code i} is claimed. */
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

  /** True if it is stored in the packed form, which is smaller but unreadable to old versions. */
  public boolean packed() {
    return packed;
  }

  /** Returns a copy that is stored in the packed form. */
  public TaskBatchRecord packedCopy() {
    TaskBatchRecord copy = copy();
    copy.packed = true;
    return copy;
  }

  /**
   * Returns an upper bound on the bytes of its stored form.
   *
   * @param packedForm true for the packed form, which stores each number as one character
   */
  int maxBytes(boolean packedForm) {
    int maxBytes = MAX_EMPTY_BYTES;
    Map<String, Integer> indexByIncarnation = new HashMap<>();
    for (int i = 0; i < attempts.length; i++) {
      String machine = machines[i];
      Integer incarnationIndex = null;
      if (machine != null) {
        String incarnation = machine + "#" + sessions[i];
        incarnationIndex = indexByIncarnation.get(incarnation);
        if (incarnationIndex == null) {
          incarnationIndex = indexByIncarnation.size();
          indexByIncarnation.put(incarnation, incarnationIndex);
          maxBytes += machine.length() + 6 + digits(sessions[i]);
        }
      }
      if (packedForm) {
        maxBytes +=
            (attempts[i] < ONE_BYTE_NUMBER_LIMIT ? 1 : 3)
                + (incarnationIndex == null || incarnationIndex < ONE_BYTE_NUMBER_LIMIT ? 1 : 3);
      } else {
        maxBytes +=
            digits(attempts[i]) + 1 + (incarnationIndex == null ? 3 : digits(incarnationIndex) + 1);
      }
    }
    return maxBytes;
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }

  /** Returns a copy, which {@link #claim} and {@link #release} may change before it is shared. */
  TaskBatchRecord copy() {
    return new TaskBatchRecord(attempts.clone(), machines.clone(), sessions.clone(), done.clone());
  }

  /** Claims task {@code i} for a new attempt; only allowed on a copy that is not shared yet. */
  void claim(int i, int attempt, String machine, long session) {
    attempts[i] = attempt;
    machines[i] = machine;
    sessions[i] = session;
  }

  /** Ends the claim of task {@code i}; only allowed on a copy that is not shared yet. */
  void release(int i, boolean taskDone) {
    machines[i] = null;
    sessions[i] = 0;
    done[i] |= taskDone;
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

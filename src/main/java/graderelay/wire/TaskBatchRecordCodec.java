package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.TaskBatchRecord;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntUnaryOperator;

/**
 * Encodes the stored record of a task batch ("slice", {@code g/slice/JOB/INDEX}) in one of three
 * forms: only the number of tasks if all are done; plain, with numbers; or packed, with one
 * character per task. The plain and packed forms contain for every task its attempt and its state:
 * queued, done, or an index into the list of (machine, agent incarnation) pairs that hold claims.
 */
final class TaskBatchRecordCodec {
  static final String ALL_DONE = "done";
  static final String ATTEMPTS = "a";
  static final String CLAIM_HOLDERS = "m";
  static final String STATES = "p";
  static final String PACKED_ATTEMPTS = "as";
  static final String PACKED_STATES = "ps";

  private static final int QUEUED = -1;
  private static final int DONE = -2;

  /**
   * First character after the quotation mark, which would need escaping. About ninety single-byte
   * characters follow, then characters of two bytes.
   */
  private static final char FIRST_CHAR = '#';

  private TaskBatchRecordCodec() {}

  /** Encodes a task batch in the form that its state requires. */
  static ObjectNode encode(TaskBatchRecord batch) {
    if (batch.doneCount() == batch.size()) {
      return Json.object().put(ALL_DONE, batch.size());
    }
    return batch.packed() ? encodePacked(batch) : encodePlain(batch);
  }

  /**
   * The distinct (machine, incarnation) pairs of a task batch, in the order of their first claim.
   */
  private static final class ClaimHolders {
    final ArrayNode list = Json.array();
    private final Map<String, Integer> index = new HashMap<>();

    int indexOf(String machine, long incarnation) {
      return index.computeIfAbsent(
          machine + "#" + incarnation,
          k -> {
            list.addArray().add(machine).add(incarnation);
            return list.size() - 1;
          });
    }
  }

  private static int stateOf(TaskBatchRecord batch, int i, ClaimHolders holders) {
    if (batch.done(i)) {
      return DONE;
    }
    String machine = batch.machine(i);
    return machine == null ? QUEUED : holders.indexOf(machine, batch.session(i));
  }

  private static ObjectNode encodePlain(TaskBatchRecord batch) {
    ObjectNode n = Json.object();
    ClaimHolders holders = new ClaimHolders();
    ArrayNode attempts = n.putArray(ATTEMPTS);
    n.set(CLAIM_HOLDERS, holders.list);
    ArrayNode states = n.putArray(STATES);
    for (int i = 0; i < batch.size(); i++) {
      attempts.add(batch.attempt(i));
      states.add(stateOf(batch, i, holders));
    }
    return n;
  }

  /**
   * Encodes a task batch with one character per task instead of numbers. Used only for task batches
   * that an earlier version made too large for the current limits of the store; that version cannot
   * read this form.
   */
  private static ObjectNode encodePacked(TaskBatchRecord batch) {
    ClaimHolders holders = new ClaimHolders();
    StringBuilder attempts = new StringBuilder();
    StringBuilder states = new StringBuilder();
    for (int i = 0; i < batch.size(); i++) {
      attempts.append((char) (FIRST_CHAR + batch.attempt(i)));
      states.append((char) (FIRST_CHAR - DONE + stateOf(batch, i, holders)));
    }
    ObjectNode n = Json.object();
    n.put(PACKED_ATTEMPTS, attempts.toString()).put(PACKED_STATES, states.toString());
    n.set(CLAIM_HOLDERS, holders.list);
    return n;
  }

  /** Decodes a task batch in any of its forms. */
  static TaskBatchRecord decode(JsonNode n) {
    if (n.has(ALL_DONE)) {
      int size = n.get(ALL_DONE).asInt();
      boolean[] done = new boolean[size];
      Arrays.fill(done, true);
      return new TaskBatchRecord(new int[size], new String[size], new long[size], done);
    }
    JsonNode holders = n.path(CLAIM_HOLDERS);
    if (n.has(PACKED_ATTEMPTS)) {
      String attempts = n.path(PACKED_ATTEMPTS).asText();
      String states = n.path(PACKED_STATES).asText();
      return decode(
          attempts.length(),
          i -> attempts.charAt(i) - FIRST_CHAR,
          i -> states.charAt(i) - FIRST_CHAR + DONE,
          holders);
    }
    JsonNode attempts = n.path(ATTEMPTS);
    JsonNode states = n.path(STATES);
    return decode(
        attempts.size(), i -> attempts.get(i).asInt(), i -> states.path(i).asInt(QUEUED), holders);
  }

  private static TaskBatchRecord decode(
      int size, IntUnaryOperator attemptOf, IntUnaryOperator stateOf, JsonNode holders) {
    int[] attempts = new int[size];
    String[] machines = new String[size];
    long[] incarnations = new long[size];
    boolean[] done = new boolean[size];
    for (int i = 0; i < size; i++) {
      attempts[i] = attemptOf.applyAsInt(i);
      int state = stateOf.applyAsInt(i);
      done[i] = state == DONE;
      if (state >= 0) {
        machines[i] = holders.path(state).path(0).asText().intern();
        incarnations[i] = holders.path(state).path(1).asLong();
      }
    }
    return new TaskBatchRecord(attempts, machines, incarnations, done);
  }
}

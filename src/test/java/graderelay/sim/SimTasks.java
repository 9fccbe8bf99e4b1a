package graderelay.sim;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Loop;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The task attempts on a simulated machine, from their launch until the leader forgets them. */
final class SimTasks {
  /** Seconds that the image takes to pull; all jobs have the same one. */
  private static final double PULL_S = 0.3;

  /** Seconds after which a task that fails does so. */
  private static final double FAILURE_S = 0.1;

  private static final class Attempt {
    final String id;
    final int number;
    String stage = "pulling";
    String cause = "";

    /** The highest term of the direct commands that launched it, or 0 if none did. */
    long directTerm;

    Loop.Timer timer;

    Attempt(String id, int number) {
      this.id = id;
      this.number = number;
    }

    boolean exited() {
      return stage.equals("exited");
    }
  }

  private final SimWorker worker;
  private final SimWorld world;
  private final Map<String, Attempt> attempts = new LinkedHashMap<>();

  /** The machine has pulled the image, so that further tasks start at once. */
  private boolean hasImage;

  SimTasks(SimWorker worker, SimWorld world) {
    this.worker = worker;
    this.world = world;
  }

  private static String key(String id, int attempt) {
    return id + "#" + attempt;
  }

  /**
   * Launches an attempt, unless it is known; it exits at once if its task is here already.
   *
   * @param directTerm the term of direct commands, or 0 for those of a heartbeat's response
   */
  void launch(String id, int number, long directTerm) {
    Attempt known = attempts.get(key(id, number));
    if (known != null) {
      known.directTerm = Math.max(known.directTerm, directTerm);
      return;
    }
    Attempt attempt = new Attempt(id, number);
    attempt.directTerm = directTerm;
    attempts.put(key(id, number), attempt);
    String refusal = refusalOf(attempt);
    if (refusal != null) {
      attempt.stage = "exited";
      attempt.cause = refusal;
      worker.changed();
      return;
    }
    if (hasImage) {
      begin(attempt);
    } else {
      attempt.timer = world.loop.after(PULL_S, () -> begin(attempt));
      worker.changed();
    }
  }

  /** Why a launch of the attempt is refused, or null. */
  private String refusalOf(Attempt attempt) {
    for (Attempt other : attempts.values()) {
      if (other != attempt && other.id.equals(attempt.id) && !other.exited()) {
        return "busy";
      }
    }
    return worker.refusal;
  }

  /** True if the worker lists the attempt, in any state. */
  boolean lists(String id, int number) {
    return attempts.containsKey(key(id, number));
  }

  /** Number of attempts that have exited and are still listed. */
  int exitedCount() {
    return (int) attempts.values().stream().filter(Attempt::exited).count();
  }

  /** Stops an attempt, if it has not exited. */
  void stop(String id, int number) {
    Attempt attempt = attempts.get(key(id, number));
    if (attempt != null && !attempt.exited()) {
      exit(attempt, "stopped");
    }
  }

  /**
   * Forgets an attempt that has exited. A late copy of a direct launch would start it again, unless
   * the worker has seen a higher term than the launch's.
   */
  void forget(String id, int number, long highestTerm) {
    Attempt attempt = attempts.get(key(id, number));
    if (attempt == null || !attempt.exited()) {
      return;
    }
    if (attempt.directTerm >= highestTerm) {
      world.invariants.breaks("unfenced reap of " + key(id, number) + " on " + worker.name);
    }
    attempts.remove(key(id, number));
    worker.changed();
  }

  /** Ends everything at once, as the machine goes or its lease is over. */
  void dropAll() {
    attempts.values().forEach(this::drop);
    attempts.clear();
  }

  private void drop(Attempt attempt) {
    if (attempt.timer != null) {
      attempt.timer.cancel();
    }
    if (!attempt.exited()) {
      world.invariants.left(attempt.id, worker.name);
    }
  }

  /** Adds all attempts to a heartbeat. */
  void show(ArrayNode list) {
    for (Attempt attempt : attempts.values()) {
      ObjectNode entry = list.addObject().put("board", attempt.id).put("pass", attempt.number);
      entry.put("stage", attempt.stage);
      if (attempt.exited()) {
        entry.put("cause", attempt.cause);
      }
    }
  }

  /** Returns the tasks that run now, in the order of their launch. */
  List<String> running() {
    List<String> ids = new ArrayList<>();
    attempts.values().stream().filter(a -> a.stage.equals("running")).forEach(a -> ids.add(a.id));
    return ids;
  }

  private void begin(Attempt attempt) {
    if (worker.hung()) {
      attempt.timer = world.loop.at(worker.hungUntil, () -> begin(attempt));
      return;
    }
    hasImage = true;
    attempt.stage = "running";
    world.invariants.started(attempt.id, worker.name, worker.type, worker.zone, worker.spot);
    worker.changed();
    boolean fails = worker.failsEverything || world.invariants.mistaken(attempt.id);
    double run = fails ? FAILURE_S : world.invariants.runTime(attempt.id);
    if (run > 0) {
      attempt.timer = world.loop.after(run, () -> exit(attempt, fails ? "error" : "done"));
    }
  }

  private void exit(Attempt attempt, String cause) {
    if (worker.hung()) {
      attempt.timer = world.loop.at(worker.hungUntil, () -> exit(attempt, cause));
      return;
    }
    if (attempt.stage.equals("running")) {
      world.invariants.left(attempt.id, worker.name);
      if (cause.equals("done")) {
        world.invariants.completed(attempt.id);
      }
    }
    if (attempt.timer != null) {
      attempt.timer.cancel();
    }
    attempt.stage = "exited";
    attempt.cause = cause;
    worker.changed();
  }
}

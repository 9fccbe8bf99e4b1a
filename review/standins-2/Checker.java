package review2;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What the tasks do, and the rules on it that every case watches. */
final class Checker {
  private final Record record;
  private final Map<String, Set<String>> machinesOf = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, Integer> doneByJob = new HashMap<>();
  private final Map<String, Double> firstStart = new HashMap<>();
  private int ranTwice;
  private int starts;
  private int doneAgain;

  Checker(Record record) {
    this.record = record;
  }

  synchronized void onStarted(String id, int pass, String machine, String zone) {
    starts++;
    firstStart.putIfAbsent(id, record.now());
    Set<String> machines = machinesOf.computeIfAbsent(id, key -> new HashSet<>());
    record.line("task " + id + " pass " + pass + " starts on " + machine + " in " + zone);
    if (!machines.isEmpty()) {
      ranTwice++;
      record.line("BROKEN ran_twice: " + id + " starts on " + machine + " while on " + machines);
    }
    if (done.contains(id)) {
      doneAgain++;
      record.line("note: " + id + " had completed before");
    }
    machines.add(machine);
  }

  synchronized void onExited(String id, int pass, String machine, String cause, String stage) {
    record.line("task " + id + " pass " + pass + " exits on " + machine + ": " + cause);
    if (!stage.equals("pulling")) {
      machinesOf.getOrDefault(id, new HashSet<>()).remove(machine);
    }
    if (cause.equals("done") && done.add(id)) {
      doneByJob.merge(id.substring(0, id.indexOf('/')), 1, Integer::sum);
    }
  }

  synchronized void onLeft(String id, int pass, String machine, String why) {
    record.line("task " + id + " pass " + pass + " is gone from " + machine + ": " + why);
    machinesOf.getOrDefault(id, new HashSet<>()).remove(machine);
  }

  synchronized boolean isDone(String id) {
    return done.contains(id);
  }

  synchronized int doneOf(String job) {
    return doneByJob.getOrDefault(job, 0);
  }

  synchronized boolean hasStarted(String job) {
    return firstStart.keySet().stream().anyMatch(id -> id.startsWith(job + "/"));
  }

  synchronized boolean isRunning(String job) {
    return machinesOf.entrySet().stream()
        .anyMatch(entry -> entry.getKey().startsWith(job + "/") && !entry.getValue().isEmpty());
  }

  synchronized int ranTwice() {
    return ranTwice;
  }

  synchronized int starts() {
    return starts;
  }
}

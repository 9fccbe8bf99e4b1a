package graderelay.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * What the committed claims of each team take, summed over the stored task batches as they are
 * known. Of each task batch the newest version counts, whether it came by a read or by a write of
 * one's own.
 */
public final class CommittedUse {
  private record BatchUse(Amount use, long revision) {}

  private static final class JobUse {
    final String team;
    final Map<Integer, BatchUse> taskBatches = new HashMap<>();

    JobUse(String team) {
      this.team = team;
    }
  }

  private final Map<String, JobUse> jobs = new HashMap<>();
  private final Map<String, Amount> teams = new HashMap<>();

  /** What the committed claims of a team take. */
  public Amount of(String team) {
    return teams.getOrDefault(team, Amount.NONE);
  }

  /**
   * A task batch was stored with claims that take so much; an older version than known is passed
   * over.
   */
  public void put(String job, int taskBatch, String team, long revision, Amount use) {
    JobUse j = jobs.computeIfAbsent(job, x -> new JobUse(team));
    BatchUse old = j.taskBatches.get(taskBatch);
    if (old != null && old.revision() >= revision) {
      return;
    }
    j.taskBatches.put(taskBatch, new BatchUse(use, revision));
    add(team, old == null ? use : use.minus(old.use()));
  }

  /** The job's end has committed, and with it the end of every attempt. */
  public void removeJob(String job) {
    JobUse j = jobs.remove(job);
    if (j != null) {
      j.taskBatches.values().forEach(s -> add(j.team, Amount.NONE.minus(s.use())));
    }
  }

  private void add(String team, Amount change) {
    teams.merge(team, change, Amount::plus);
  }

  /** Forgets everything. */
  public void clear() {
    jobs.clear();
    teams.clear();
  }
}

package graderelay.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * The use of each team's committed claims, summed over the known stored task batches. Only the
 * newest known version of each task batch counts, whether this controller has read or written it.
 */
public final class CommittedUse {
  /** The use of the claims in one task batch, at a revision of its record. */
  private record BatchUse(Amount use, long revision) {}

  /** The use of the claims of one job, by the index of the task batch. */
  private static final class JobUse {
    final String team;
    final Map<Integer, BatchUse> batchUses = new HashMap<>();

    JobUse(String team) {
      this.team = team;
    }
  }

  private final Map<String, JobUse> jobUses = new HashMap<>();
  private final Map<String, Amount> useByTeam = new HashMap<>();

  /** The use of the team's committed claims. */
  public Amount of(String team) {
    return useByTeam.getOrDefault(team, Amount.NONE);
  }

  /**
   * Records the use of the claims in a stored task batch; a version older than the known one is
   * ignored.
   */
  public void put(String job, int taskBatch, String team, long revision, Amount use) {
    JobUse jobUse = jobUses.computeIfAbsent(job, x -> new JobUse(team));
    BatchUse previous = jobUse.batchUses.get(taskBatch);
    if (previous != null && previous.revision() >= revision) {
      return;
    }
    jobUse.batchUses.put(taskBatch, new BatchUse(use, revision));
    add(team, previous == null ? use : use.minus(previous.use()));
  }

  /** Removes a job whose end, and with it the end of all its attempts, has committed. */
  public void removeJob(String job) {
    JobUse removed = jobUses.remove(job);
    if (removed != null) {
      removed
          .batchUses
          .values()
          .forEach(batch -> add(removed.team, Amount.NONE.minus(batch.use())));
    }
  }

  private void add(String team, Amount change) {
    useByTeam.merge(team, change, Amount::plus);
  }

  /** Removes all jobs and teams. */
  public void clear() {
    jobUses.clear();
    useByTeam.clear();
  }
}

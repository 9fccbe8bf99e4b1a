package graderelay.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * What the committed claims of each team use, summed over the stored task batches as they are
 * known. Of each task batch the newest version counts, whether it was read or written by this
 * controller.
 */
public final class CommittedUse {
  /** What the claims of one task batch use, at a revision of its record. */
  private record BatchUse(Amount use, long revision) {}

  /** What the claims of one job use, by the index of the task batch. */
  private static final class JobUse {
    final String team;
    final Map<Integer, BatchUse> batchUses = new HashMap<>();

    JobUse(String team) {
      this.team = team;
    }
  }

  private final Map<String, JobUse> jobUses = new HashMap<>();
  private final Map<String, Amount> useByTeam = new HashMap<>();

  /** What the committed claims of a team use. */
  public Amount of(String team) {
    return useByTeam.getOrDefault(team, Amount.NONE);
  }

  /**
   * A task batch was stored with claims that use so much; a version older than the known one is
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

  /** The job's end has committed, and with it the end of every attempt. */
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

  /** Forgets everything. */
  public void clear() {
    jobUses.clear();
    useByTeam.clear();
  }
}

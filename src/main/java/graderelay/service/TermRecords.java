package graderelay.service;

import graderelay.core.Scheduler;
import graderelay.core.TaskBatchKey;
import graderelay.features.Feature;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.JobEntry;
import graderelay.state.TaskBatchEntry;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;

/**
 * Passes the stored records on to the core of one {@link LeaderTerm}: all of them when the term
 * starts, and every change from then on.
 */
final class TermRecords {
  private final Loop loop;
  private final Cache cache;
  private final Scheduler core;
  private final FailoverHints hints;
  private final Runnable stepSoon;

  /**
   * Makes the feed of one term.
   *
   * @param hints what the leader before has kept
   * @param stepSoon has the core step after the events of this moment
   */
  TermRecords(Loop loop, Cache cache, Scheduler core, FailoverHints hints, Runnable stepSoon) {
    this.loop = loop;
    this.cache = cache;
    this.core = core;
    this.hints = hints;
    this.stepSoon = stepSoon;
  }

  // ---------------------------------------------------------------- start of the term

  /** Takes the records as they are now, which the caller has just caught up with. */
  void load() {
    double now = loop.now();
    hints.images().forEach(core::onStoredImages);
    core.onImageShards(hints.imagePartsPerThousand());
    loadJobs(now);
    core.onStoredDemand(hints.demand(loop.wallMs()), now);
    onQuota();
    core.onRecordsLoaded(now);
  }

  /** Every job comes before the first task batch. */
  private void loadJobs(double now) {
    for (JobEntry job : cache.jobs().values()) {
      onJob(job);
    }
    for (JobEntry job : cache.jobs().values()) {
      job.taskBatches.forEach(
          (index, batch) ->
              core.onTaskBatch(
                  new TaskBatchKey(job.spec.id(), index), batch.record(), batch.revision(), now));
    }
    cache
        .orphanedTaskBatches()
        .forEach((key, batch) -> core.onTaskBatch(key, batch.record(), batch.revision(), now));
  }

  // ---------------------------------------------------------------- changes

  /** A live job's record is new or has changed. */
  void onJob(JobEntry job) {
    double submittedAt = secondsAt(job.spec.submittedMs());
    core.onJob(
        job.spec, job.isCancelled(), job.revision(), Math.min(submittedAt, loop.now()), loop.now());
    stepSoon.run();
  }

  /** The loop's time in seconds at a time of day, which is in milliseconds. */
  private double secondsAt(long wallMs) {
    return loop.now() - (loop.wallMs() - wallMs) / 1000.0;
  }

  /** A job was cancelled, which its record may not show yet. */
  void onCancelled(String job) {
    core.onCancelled(job, loop.now());
    stepSoon.run();
  }

  /** A job's final state is known. */
  void onEnd(String job, FinalState end) {
    // Records of earlier versions lack the time: they count as ended just now.
    double endedAt = end.writtenAtMs() == 0 ? loop.now() : secondsAt(end.writtenAtMs());
    core.onJobEnd(job, end.cancelled(), endedAt, loop.now());
    stepSoon.run();
  }

  /** A job's record was removed. */
  void onJobGone(String job) {
    core.onJobDeleted(job, loop.now());
    stepSoon.run();
  }

  /** A task batch's record is new or has changed. */
  void onTaskBatch(TaskBatchKey key, TaskBatchEntry batch) {
    core.onTaskBatch(key, batch.record(), batch.revision(), loop.now());
    stepSoon.run();
  }

  /** A task batch's record was removed. */
  void onTaskBatchGone(TaskBatchKey key) {
    core.onTaskBatchDeleted(key);
  }

  /**
   * Stored limits or accounts have changed. The caller has passed on the task batches of the same
   * revision before.
   */
  void onQuota() {
    boolean stored = cache.features().gate().isEnabled(Feature.STORED_LIMITS);
    core.onQuota(stored ? cache.quota().snapshotAt(cache.observedRevision()) : null);
    stepSoon.run();
  }

  /** A lease delegate has released grants, as its record says. */
  void onLeaseDelegateReleased(String member, StateCodec.DelegateRelease release) {
    core.onDelegateGrantRelease(
        member,
        release.incarnation(),
        release.releasedUpTo(),
        release.grantedBy(),
        release.aloneS(),
        loop.now());
  }
}

package graderelay.service;

import graderelay.core.DelegationRelease;
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
 * Passes the stored records to the scheduler core of one {@link LeaderTerm}: all records when the
 * leader term starts, and every change after that.
 */
final class RecordFeed {
  private final Loop loop;
  private final Cache cache;
  private final Scheduler core;
  private final FailoverHints hints;
  private final Runnable scheduleStep;

  /**
   * Creates the feed of one leader term.
   *
   * @param hints the hints that the previous leader stored
   * @param scheduleStep schedules a scheduling round after the events that are already queued
   */
  RecordFeed(Loop loop, Cache cache, Scheduler core, FailoverHints hints, Runnable scheduleStep) {
    this.loop = loop;
    this.cache = cache;
    this.core = core;
    this.hints = hints;
    this.scheduleStep = scheduleStep;
  }

  // ---------------------------------------------------------------- initial load

  /**
   * Passes all cached records to the core. The caller must have caught up with the store
   * immediately before.
   */
  void load() {
    double now = loop.now();
    hints.storedImages().forEach(core::onStoredImages);
    core.onImageShards(hints.imageShardsPerThousandMachines());
    loadJobs(now);
    core.onStoredDemand(hints.storedDemand(loop.wallClockMs()), now);
    onQuotaChanged();
    core.onRecordsLoaded(now);
  }

  /** Passes all jobs to the core, then all task batches. */
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

  /** Handles a new or changed record of a live job. */
  void onJob(JobEntry job) {
    double submittedAt = toLoopTime(job.spec.submittedMs());
    core.onJob(
        job.spec, job.isCancelled(), job.revision(), Math.min(submittedAt, loop.now()), loop.now());
    scheduleStep.run();
  }

  /** Converts a wall-clock time in milliseconds to the event loop's time in seconds. */
  private double toLoopTime(long wallMs) {
    return loop.now() - (loop.wallClockMs() - wallMs) / 1000.0;
  }

  /** Handles the cancellation of a job, which its record may not contain yet. */
  void onCancelled(String job) {
    core.onCancelled(job, loop.now());
    scheduleStep.run();
  }

  /** Handles the final state of a job. */
  void onFinalState(String job, FinalState finalState) {
    // Records of earlier versions contain no time of writing: the job is treated as ended now.
    double endedAt =
        finalState.writtenAtMs() == 0 ? loop.now() : toLoopTime(finalState.writtenAtMs());
    core.onJobEnd(job, finalState.cancelled(), endedAt, loop.now());
    scheduleStep.run();
  }

  /** Handles the deletion of a job's record. */
  void onJobDeleted(String job) {
    core.onJobDeleted(job, loop.now());
    scheduleStep.run();
  }

  /** Handles a new or changed record of a task batch. */
  void onTaskBatch(TaskBatchKey key, TaskBatchEntry batch) {
    core.onTaskBatch(key, batch.record(), batch.revision(), loop.now());
    scheduleStep.run();
  }

  /** Handles the deletion of a task batch's record. */
  void onTaskBatchDeleted(TaskBatchKey key) {
    core.onTaskBatchDeleted(key);
  }

  /**
   * Handles a change of stored limits or accounts. The caller must have passed on the task batches
   * of the same revision before.
   */
  void onQuotaChanged() {
    boolean usesStoredLimits = cache.features().gate().isEnabled(Feature.STORED_LIMITS);
    core.onQuota(usesStoredLimits ? cache.quota().snapshotAt(cache.observedRevision()) : null);
    scheduleStep.run();
  }

  /** Handles the record in which a lease delegate releases its grants. */
  void onDelegateReleased(String member, StateCodec.DelegateRelease release) {
    core.onDelegationRelease(
        new DelegationRelease(
            member,
            release.incarnation(),
            release.releasedUpTo(),
            release.grantorTerm(),
            release.sinceAutonomousResponseS()),
        loop.now());
  }
}

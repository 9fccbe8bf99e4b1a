package graderelay.core;

/**
 * Handles job records for {@link Scheduler}: submissions, cancellations, final records and their
 * DAG dependencies. The tasks of a cancelled job are stopped at once, and the jobs that depend on
 * it are cancelled too.
 */
final class JobRecordHandler {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final TaskStopper taskStopper;

  JobRecordHandler(
      ClusterState cluster, FleetPlanner planner, StoredRecords records, TaskStopper taskStopper) {
    this.cluster = cluster;
    this.planner = planner;
    this.records = records;
    this.taskStopper = taskStopper;
  }

  /**
   * Handles a new or changed job record; {@code submittedAt} is the time of submission on the
   * leader's clock.
   */
  void onJob(JobSpec spec, boolean cancelRequested, long revision, double submittedAt, double now) {
    Job job = cluster.jobs.get(spec.id());
    if (job == null) {
      job = new Job(spec, revision, cancelRequested, now);
      job.acceptedAt = submittedAt;
      job.eligibleSince = submittedAt;
      cluster.jobs.put(spec.id(), job);
      if (!job.awaitsDependencies()) {
        planner.onArrival(spec, submittedAt);
      }
      cluster.dependencies.add(job).forEach(dependent -> cancelDependent(dependent, now));
      cluster.dependencies.updateUrgency(job, now);
      // Task batches that were read before the job's record have a job now.
      records.onJobRecord(spec.id());
    } else if (revision > job.revision) {
      job.revision = revision;
      if (cancelRequested && !job.cancelRequested) {
        cluster.log(
            "cancellation of "
                + spec.id()
                + " read from the store, "
                + job.claims.size()
                + " claims");
      }
      job.cancelRequested |= cancelRequested;
    }
    if (job.cancelRequested) {
      applyCancellation(job, now);
    }
    cluster.roundNeeded = true;
  }

  /**
   * Handles a cancellation that was committed by a peer or by this controller before the changed
   * record has been read from the store. The stored record has changed, so transactions conditioned
   * on the known revision fail: no claim and no end of the job can commit, and none of its tasks
   * can start. Its tasks are stopped at once.
   */
  void onCancelled(String id, double now) {
    Job job = cluster.jobs.get(id);
    if (job != null && !job.cancelRequested) {
      cluster.log(
          "cancellation of "
              + id
              + " received before its record was read, "
              + job.claims.size()
              + " claims");
      job.cancelRequested = true;
      applyCancellation(job, now);
      cluster.roundNeeded = true;
    }
  }

  /** Stops the cancelled job's tasks and cancels the jobs that depend on it. */
  private void applyCancellation(Job job, double now) {
    cluster.cancelledJobs.add(job);
    cluster.possiblyEndedJobs.add(job);
    taskStopper.stopCancelledJob(job, now);
    cluster
        .dependencies
        .dependentsToCancel(job.spec.id())
        .forEach(dependent -> cancelDependent(dependent, now));
  }

  /**
   * Cancels a job that depends on a cancelled job. None of its tasks was ever claimed, so only its
   * final record has to be written.
   */
  private void cancelDependent(Job dependent, double now) {
    cluster.log(
        dependent.spec.id() + " is cancelled because a job that it depends on was cancelled");
    dependent.cancelRequested = true;
    cluster.cancelledJobs.add(dependent);
    cluster.possiblyEndedJobs.add(dependent);
    cluster.roundNeeded = true;
  }

  /**
   * Handles the committed final record of a job that others may depend on; {@code endedAt} is the
   * time at which the job ended.
   */
  void onJobEnd(String id, boolean cancelled, double endedAt, double now) {
    if (!cluster.dependencies.hasDependents(id)) {
      return;
    }
    if (cancelled) {
      cluster.dependencies.onCancelled(id).forEach(dependent -> cancelDependent(dependent, now));
      return;
    }
    for (Job dependent : cluster.dependencies.onDone(id, Math.min(endedAt, now))) {
      dependent.eligibleSince = Math.max(dependent.acceptedAt, dependent.dependenciesEndedAt);
      dependent.waitingSince = now;
      dependent.waitReason = WaitReason.NEW;
      planner.onArrival(dependent.spec, dependent.eligibleSince);
      cluster.log(dependent.spec.id() + " may start: all jobs that it depends on are done");
    }
    cluster.roundNeeded = true;
  }

  /** Handles the deletion of the job's record from the store. */
  void onJobDeleted(String id, double now) {
    Job job = cluster.jobs.get(id);
    if (job != null && !job.endInFlight) {
      records.removeJob(job, now);
    }
  }
}

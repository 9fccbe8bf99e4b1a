package graderelay.core;

/**
 * Takes in job records for {@link Scheduler}: submissions, cancellations, final records and their
 * DAG dependencies. A cancelled job's claims are stopped at once, and the jobs that depend on it
 * are cancelled too.
 */
final class JobRecordEvents {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final TaskStops stops;

  JobRecordEvents(
      ClusterState cluster, FleetPlanner planner, StoredRecords records, TaskStops stops) {
    this.cluster = cluster;
    this.planner = planner;
    this.records = records;
    this.stops = stops;
  }

  /** {@code submittedAt} is the job's time of submission on this clock. */
  void onJob(JobSpec spec, boolean stop, long revision, double submittedAt, double now) {
    Job job = cluster.jobs.get(spec.id());
    if (job == null) {
      job = new Job(spec, revision, stop, now);
      job.acceptedAt = submittedAt;
      job.eligibleSince = submittedAt;
      cluster.jobs.put(spec.id(), job);
      if (!job.awaitsDependencies()) {
        planner.onArrival(spec, submittedAt);
      }
      cluster.dependencies.add(job).forEach(dependent -> cancelWithNeeded(dependent, now));
      cluster.dependencies.updateUrgency(job, now);
      // Task batches that came first, while the job's own record had not been seen yet.
      records.jobCame(spec.id());
    } else if (revision > job.revision) {
      job.revision = revision;
      if (stop && !job.cancelRequested) {
        cluster.log("stop request for " + spec.id() + ", " + job.claims.size() + " claims");
      }
      job.cancelRequested |= stop;
    }
    if (job.cancelRequested) {
      onCancellation(job, now);
    }
    cluster.roundNeeded = true;
  }

  /**
   * The job was cancelled, although its record has not shown that yet: no start, no claim and no
   * end of it can commit against the record as we know it, and its tasks are stopped at once.
   */
  void onCancelled(String id, double now) {
    Job job = cluster.jobs.get(id);
    if (job != null && !job.cancelRequested) {
      cluster.log(id + " was cancelled, says a peer; " + job.claims.size() + " claims");
      job.cancelRequested = true;
      onCancellation(job, now);
      cluster.roundNeeded = true;
    }
  }

  /** Stops a cancelled job's tasks, and cancels the jobs that depend on it. */
  private void onCancellation(Job job, double now) {
    cluster.cancelledJobs.add(job);
    cluster.possiblyEndedJobs.add(job);
    stops.cancelJob(job, now);
    cluster
        .dependencies
        .dependentsToCancel(job.spec.id())
        .forEach(dependent -> cancelWithNeeded(dependent, now));
  }

  /**
   * It depends on a job that is cancelled. Nothing of it was ever claimed: its record only ends.
   */
  private void cancelWithNeeded(Job dependent, double now) {
    cluster.log(dependent.spec.id() + " is cancelled with a job that it needs");
    dependent.cancelRequested = true;
    cluster.cancelledJobs.add(dependent);
    cluster.possiblyEndedJobs.add(dependent);
    cluster.roundNeeded = true;
  }

  /**
   * The committed final record of a job, which others may depend on; {@code at} is when it was
   * made.
   */
  void onEnd(String id, boolean cancelled, double at, double now) {
    if (!cluster.dependencies.hasDependents(id)) {
      return;
    }
    if (cancelled) {
      cluster.dependencies.onCancelled(id).forEach(dependent -> cancelWithNeeded(dependent, now));
      return;
    }
    for (Job dependent : cluster.dependencies.onDone(id, Math.min(at, now))) {
      dependent.eligibleSince = Math.max(dependent.acceptedAt, dependent.dependenciesEndedAt);
      dependent.waitingSince = now;
      dependent.waitReason = "new";
      planner.onArrival(dependent.spec, dependent.eligibleSince);
      cluster.log(dependent.spec.id() + " may begin: all that it needs is done");
    }
    cluster.roundNeeded = true;
  }

  /** The job's record is gone from the store. */
  void onJobGone(String id, double now) {
    Job job = cluster.jobs.get(id);
    if (job != null && !job.endInFlight) {
      records.forget(job, now);
    }
  }
}

package graderelay.core;

/**
 * Takes in job records for {@link Scheduler}: submissions, cancellations, final records and their
 * DAG dependencies. A cancelled job's claims are stopped at once, and so are the jobs that need it.
 */
final class JobRecordEvents {
  private final ClusterState cluster;
  private final FleetPlanner planner;
  private final StoredRecords records;
  private final WorkerCommands commands;

  JobRecordEvents(
      ClusterState cluster, FleetPlanner planner, StoredRecords records, WorkerCommands commands) {
    this.cluster = cluster;
    this.planner = planner;
    this.records = records;
    this.commands = commands;
  }

  /** {@code submittedAt} is the job's time of submission on this clock. */
  void onJob(JobSpec spec, boolean stop, long revision, double submittedAt, double now) {
    Job j = cluster.jobs.get(spec.id());
    if (j == null) {
      j = new Job(spec, revision, stop, now);
      j.acceptedAt = submittedAt;
      j.submittedAt = submittedAt;
      cluster.jobs.put(spec.id(), j);
      if (!j.blocked()) {
        planner.onArrival(spec, submittedAt);
      }
      cluster.dependencies.added(j).forEach(d -> cancelWithNeeded(d, now));
      cluster.dependencies.updateUrgency(j, now);
      // Task batches that came first, while the job's own record had not been seen yet.
      records.jobCame(spec.id());
    } else if (revision > j.revision) {
      j.revision = revision;
      if (stop && !j.stop) {
        cluster.note("stop request for " + spec.id() + ", " + j.claims.size() + " claims");
      }
      j.stop |= stop;
    }
    if (j.stop) {
      stopped(j, now);
    }
    cluster.dirty = true;
  }

  /**
   * The job was cancelled, although its record has not shown that yet: no start, no claim and no
   * end of it can commit against the record as we know it, and its tasks are stopped at once.
   */
  void onCancelled(String job, double now) {
    Job j = cluster.jobs.get(job);
    if (j != null && !j.stop) {
      cluster.note(job + " was cancelled, says a peer; " + j.claims.size() + " claims");
      j.stop = true;
      stopped(j, now);
      cluster.dirty = true;
    }
  }

  private void stopped(Job j, double now) {
    cluster.stopped.add(j);
    cluster.maybeOver.add(j);
    commands.stopClaims(j, now);
    cluster.dependencies.cancelledWith(j.spec.id()).forEach(d -> cancelWithNeeded(d, now));
  }

  /** It needs a job that is cancelled. Nothing of it was ever claimed: its record only ends. */
  private void cancelWithNeeded(Job d, double now) {
    cluster.note(d.spec.id() + " is cancelled with a job that it needs");
    d.stop = true;
    cluster.stopped.add(d);
    cluster.maybeOver.add(d);
    cluster.dirty = true;
  }

  /** The committed final record of a job, which others may need; {@code at} is when it was made. */
  void onEnd(String job, boolean cancelled, double at, double now) {
    if (!cluster.dependencies.hasDependents(job)) {
      return;
    }
    if (cancelled) {
      cluster.dependencies.cancelled(job).forEach(d -> cancelWithNeeded(d, now));
      return;
    }
    for (Job d : cluster.dependencies.done(job, Math.min(at, now))) {
      d.submittedAt = Math.max(d.acceptedAt, d.neededUntil);
      d.waitingSince = now;
      d.waitReason = "new";
      planner.onArrival(d.spec, d.submittedAt);
      cluster.note(d.spec.id() + " may begin: all that it needs is done");
    }
    cluster.dirty = true;
  }

  /** The job's record is gone from the store. */
  void onJobGone(String id, double now) {
    Job j = cluster.jobs.get(id);
    if (j != null && !j.ending) {
      records.forget(j, now);
    }
  }
}

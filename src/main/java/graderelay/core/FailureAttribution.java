package graderelay.core;

/**
 * Whose fault a failed task is. Mostly it is the machine's, but a job that was submitted with a
 * mistake fails on every machine. Evidence on both sides decides: what else succeeds on the
 * machine, and where else the job succeeds or fails. The protocol knows no failed stage and an
 * accepted job must run, so a job at fault is tried on, one task at a time and ever more rarely; it
 * costs no other job a machine.
 */
final class FailureAttribution {
  /** Errors in a row on one machine, of several jobs, after which it is replaced. */
  private static final int BAD_STREAK = 3;

  /** Seconds without new tasks after an error on a machine; doubles with each in a row. */
  private static final double QUARANTINE_S = 5;

  /** Seconds; longest quarantine, so that a machine that has recovered is used again. */
  private static final double LONGEST_QUARANTINE_S = 60;

  /** Seconds of a job's first pause after failing on several machines; doubles. */
  static final double JOB_BACKOFF_S = 2;

  /**
   * Seconds that a task has to run to speak for its job and its machine: mistakes and sick machines
   * mostly end it at its start.
   */
  static final double GOOD_RUN_S = 5;

  /**
   * Times the attempt cap of machines on which tasks of a job fail, although others of it succeed,
   * after which machines are not blamed for it any more.
   */
  private static final int PROVEN_JOB_MACHINES = 4;

  /** Seconds; longest pause of such a job: an accepted job must run, so it is tried on. */
  private static final double LONGEST_JOB_BACKOFF_S = 30;

  private final ClusterState cluster;
  private final FleetPlanner planner;

  FailureAttribution(ClusterState cluster, FleetPlanner planner) {
    this.cluster = cluster;
    this.planner = planner;
  }

  /** A task of the claim failed by itself. */
  void onFailure(Machine machine, Claim claim, double now) {
    Job job = claim.job;
    boolean early = claim.runningSince == 0 || now - claim.runningSince < GOOD_RUN_S;
    boolean proven = job.doneCount > 0 || (job.ranSuccessfully && early);
    job.failedMachines.add(machine.name);
    int cap = cluster.policy.tuning().attemptCap();
    if (job.suspect) {
      // The rest of one volley says nothing new; only a later try does.
      if (claim.claimedAt > job.suspectSince) {
        backOff(job, now);
      }
      return;
    }
    if (job.failedMachines.size() >= (proven ? cap * PROVEN_JOB_MACHINES : cap)) {
      if (!proven) {
        markSuspect(job, now);
      }
      return; // Some tasks of a job whose others succeed may carry a mistake of their own.
    }
    blameMachine(machine, job, now);
  }

  /** The failure counts against the machine: a pause, or no new tasks after several. */
  private void blameMachine(Machine machine, Job job, double now) {
    machine.lastFailureAt = now;
    machine.failureCountByJob.merge(job.spec.id(), 1, Integer::sum);
    int streak = machine.consecutiveFailures();
    double pause = QUARANTINE_S * Math.pow(2, Math.min(8, streak - 1));
    machine.quarantineUntil =
        Math.max(machine.quarantineUntil, now + Math.min(LONGEST_QUARANTINE_S, pause));
    if (streak >= BAD_STREAK && machine.failureCountByJob.size() > 1 && !machine.faulty) {
      machine.faulty = true;
      machine.draining = true;
      // What runs there already is left alone: only starts were seen to fail.
      cluster.log("machine " + machine.name + " fails tasks of several jobs: no new ones");
      exonerateJobs(machine, now);
    }
  }

  /** It failed on several machines and succeeded nowhere: they are not to blame for it. */
  private void markSuspect(Job job, double now) {
    job.suspect = true;
    job.suspectSince = now;
    job.backoffCount = 0;
    backOff(job, now);
    planner.onFailingJob(job.spec);
    cluster.log(
        job.spec.id()
            + " fails on every machine, "
            + job.failedMachines.size()
            + " so far: tried one task at a time from now on");
    for (String name : job.failedMachines) {
      Machine machine = cluster.machines.get(name);
      if (machine == null || machine.failureCountByJob.remove(job.spec.id()) == null) {
        continue;
      }
      if (machine.faulty && machine.failureCountByJob.size() < 2 && !machine.scalingIn) {
        machine.faulty = false;
        machine.draining = false;
        cluster.log("machine " + machine.name + " is used again: the jobs were at fault");
      }
      if (machine.failureCountByJob.isEmpty()) {
        machine.quarantineUntil = Double.NEGATIVE_INFINITY;
        cluster.roomVersion++;
      }
    }
    cluster.roundNeeded = true;
  }

  /** The machine fails everything, so that jobs are not to blame for what failed there. */
  private void exonerateJobs(Machine machine, double now) {
    for (Job job : cluster.jobs.values()) {
      boolean failedHere = job.failedMachines.remove(machine.name);
      if (failedHere
          && job.suspect
          && job.failedMachines.size() < cluster.policy.tuning().attemptCap()) {
        clearSuspicion(job, now);
      }
    }
  }

  /** Tries no task of the job for a while, each time twice as long as before. */
  private void backOff(Job job, double now) {
    double pause = JOB_BACKOFF_S * Math.pow(2, Math.min(8, job.backoffCount++));
    job.notBefore = now + Math.min(LONGEST_JOB_BACKOFF_S, pause);
  }

  /** A task of the claim runs, or is done: neither its job nor its machine fails everything. */
  void onSuccess(Machine machine, Claim claim, double now) {
    Job job = claim.job;
    if (!job.ranSuccessfully || job.unproven || job.suspect) {
      job.ranSuccessfully = true;
      job.unproven = false;
      cluster.roundNeeded = true;
      if (job.suspect) {
        clearSuspicion(job, now);
      }
    }
    // What was started before the machine fell sick goes on there, and shows nothing.
    if (claim.claimedAt > machine.lastFailureAt) {
      machine.failureCountByJob.clear();
    }
  }

  /** The job is not at fault after all: it is placed as others are. */
  private void clearSuspicion(Job job, double now) {
    job.suspect = false;
    job.backoffCount = 0;
    job.notBefore = now;
    job.failedMachines.clear();
    cluster.roundNeeded = true;
    cluster.roomVersion++;
    cluster.log(job.spec.id() + " is not at fault: its machines were");
  }
}

package graderelay.core;

/**
 * Attributes failed tasks to their machine or to their job. Most failures are caused by the
 * machine, but a job that was submitted with an error fails on every machine. The decision is based
 * on what else succeeds on the machine, and on where else the job succeeds or fails. The protocol
 * has no failed state and an accepted job must run, so a faulty job is retried one task at a time
 * with exponential backoff, and its failures do not take machines out of use.
 */
final class FailureAttribution {
  /** Consecutive errors on one machine, by more than one job, after which it is replaced. */
  private static final int FAULTY_MACHINE_ERRORS = 3;

  /** Seconds without new tasks after an error on a machine; doubles with each consecutive error. */
  private static final double INITIAL_QUARANTINE_S = 5;

  /** Upper bound on the quarantine, so that a machine that has recovered is used again. */
  private static final double MAX_QUARANTINE_S = 60;

  /**
   * Seconds after the last failure on a faulty machine that still runs tasks before a task is tried
   * there again. Waiting jobs may fit on no other machine.
   */
  private static final double FAULTY_RETRY_S = 60;

  /** Seconds of a job's first pause after failures on several machines; doubles each time. */
  static final double INITIAL_JOB_BACKOFF_S = 2;

  /**
   * Seconds that a task has to run to count as a success of its job and its machine. Faulty jobs
   * and faulty machines mostly fail tasks right after the start.
   */
  static final double MIN_SUCCESSFUL_RUN_S = 5;

  /**
   * Multiple of the attempt cap for jobs of which other tasks succeed: once tasks of such a job
   * have failed on this many machines, its failures no longer count against machines.
   */
  private static final int PROVEN_JOB_CAP_FACTOR = 4;

  /** Upper bound on a job's pause: an accepted job must run, so it is retried without end. */
  private static final double MAX_JOB_BACKOFF_S = 30;

  private final ClusterState cluster;
  private final FleetPlanner planner;

  FailureAttribution(ClusterState cluster, FleetPlanner planner) {
    this.cluster = cluster;
    this.planner = planner;
  }

  /** Handles an attempt that exited with an error. */
  void onFailure(Machine machine, Claim claim, double now) {
    Job job = claim.job;
    boolean failedEarly =
        claim.runningSince == 0 || now - claim.runningSince < MIN_SUCCESSFUL_RUN_S;
    boolean isProvenJob = job.doneCount > 0 || (job.ranSuccessfully && failedEarly);
    job.failedMachines.onFailure(machine.name, now);
    int attemptCap = cluster.policy.tuning().attemptCap();
    if (job.suspect) {
      // Only attempts claimed after the job became suspect are new evidence.
      if (claim.claimedAt > job.suspectSince) {
        backOff(job, now);
      }
      return;
    }
    if (job.failedMachines.size()
        >= (isProvenJob ? attemptCap * PROVEN_JOB_CAP_FACTOR : attemptCap)) {
      if (!isProvenJob) {
        markSuspect(job, now);
      }
      return; // Single tasks of a job may be faulty even if others of it succeed.
    }
    countAgainstMachine(machine, job, now);
  }

  /** Quarantines the machine; after several failures it gets no new tasks and is replaced. */
  private void countAgainstMachine(Machine machine, Job job, double now) {
    machine.lastFailureAt = now;
    machine.failureCountByJob.merge(job.spec.id(), 1, Integer::sum);
    int streak = machine.consecutiveFailures();
    double pauseS = INITIAL_QUARANTINE_S * Math.pow(2, Math.min(8, streak - 1));
    machine.quarantineUntil =
        Math.max(machine.quarantineUntil, now + Math.min(MAX_QUARANTINE_S, pauseS));
    if (streak >= FAULTY_MACHINE_ERRORS && machine.failureCountByJob.size() > 1) {
      markFaulty(machine, now);
    }
  }

  /** Takes a machine out of use on which tasks of several jobs failed. */
  private void markFaulty(Machine machine, double now) {
    machine.faultyUntil = now + FAULTY_RETRY_S;
    if (!machine.faulty) {
      machine.faulty = true;
      // Running tasks continue: only failures at the start have been observed.
      cluster.log("machine " + machine.name + " fails tasks of several jobs: it gets no new tasks");
      discardJobFailures(machine, now);
    }
  }

  /** Returns a faulty machine to use. */
  private void clearFaulty(Machine machine, String reason) {
    machine.faulty = false;
    cluster.roundNeeded = true;
    cluster.roomVersion++;
    cluster.log("machine " + machine.name + " is used again: " + reason);
  }

  /** Marks a job that failed on several machines and succeeded on none; clears these machines. */
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
            + " so far: retrying one task at a time");
    for (String machineName : job.failedMachines.names()) {
      Machine machine = cluster.machines.get(machineName);
      if (machine == null || machine.failureCountByJob.remove(job.spec.id()) == null) {
        continue;
      }
      if (machine.faulty && machine.failureCountByJob.size() < 2 && !machine.scalingIn) {
        clearFaulty(machine, "its failures were caused by the jobs");
      }
      if (machine.failureCountByJob.isEmpty()) {
        machine.quarantineUntil = Double.NEGATIVE_INFINITY;
        cluster.roomVersion++;
      }
    }
    cluster.roundNeeded = true;
  }

  /** Discards the failures on a faulty machine from the records of the jobs. */
  private void discardJobFailures(Machine machine, double now) {
    for (Job job : cluster.jobs.values()) {
      boolean failedHere = job.failedMachines.remove(machine.name);
      if (failedHere
          && job.suspect
          && job.failedMachines.size() < cluster.policy.tuning().attemptCap()) {
        clearSuspect(job, now);
      }
    }
  }

  /** Pauses placement of the job's tasks, each time for twice as long as before. */
  private void backOff(Job job, double now) {
    double pauseS = INITIAL_JOB_BACKOFF_S * Math.pow(2, Math.min(8, job.backoffCount++));
    job.notBefore = now + Math.min(MAX_JOB_BACKOFF_S, pauseS);
  }

  /** Handles an attempt that has run long enough or is done; this clears its job and machine. */
  void onSuccess(Machine machine, Claim claim, double now) {
    Job job = claim.job;
    if (!job.ranSuccessfully || job.unproven || job.suspect) {
      job.ranSuccessfully = true;
      job.unproven = false;
      cluster.roundNeeded = true;
      if (job.suspect) {
        clearSuspect(job, now);
      }
    }
    // Attempts from before the machine's last error may still succeed on a faulty machine, so they
    // prove nothing.
    if (claim.claimedAt > machine.lastFailureAt) {
      machine.failureCountByJob.clear();
      if (machine.faulty && !machine.scalingIn) {
        clearFaulty(machine, "a task succeeded there");
      }
    }
  }

  /** Returns the job to normal placement: its failures were caused by machines. */
  private void clearSuspect(Job job, double now) {
    job.suspect = false;
    job.backoffCount = 0;
    job.notBefore = now;
    job.failedMachines.clear();
    cluster.roundNeeded = true;
    cluster.roomVersion++;
    cluster.log(job.spec.id() + " is no longer suspect: its failures were caused by machines");
  }
}

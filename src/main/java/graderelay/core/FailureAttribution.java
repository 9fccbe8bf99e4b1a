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
  void failed(Machine m, Claim c, double now) {
    Job j = c.job;
    boolean early = c.runningSince == 0 || now - c.runningSince < GOOD_RUN_S;
    boolean proven = j.doneCount > 0 || (j.ranWell && early);
    j.failedMachines.add(m.name);
    int cap = cluster.policy.tuning().attemptCap();
    if (j.suspect) {
      // The rest of one volley says nothing new; only a later try does.
      if (c.claimedAt > j.suspectSince) {
        pause(j, now);
      }
      return;
    }
    if (j.failedMachines.size() >= (proven ? cap * PROVEN_JOB_MACHINES : cap)) {
      if (!proven) {
        suspect(j, now);
      }
      return; // Some tasks of a job whose others succeed may carry a mistake of their own.
    }
    m.lastErrorAt = now;
    m.errorJobs.merge(j.spec.id(), 1, Integer::sum);
    int streak = m.errorStreak();
    double pause = QUARANTINE_S * Math.pow(2, Math.min(8, streak - 1));
    m.quarantineUntil = Math.max(m.quarantineUntil, now + Math.min(LONGEST_QUARANTINE_S, pause));
    if (streak >= BAD_STREAK && m.errorJobs.size() > 1 && !m.faulty) {
      m.faulty = true;
      m.drain = true;
      // What runs there already is left alone: only starts were seen to fail.
      cluster.log("machine " + m.name + " fails tasks of several jobs: no new ones");
      acquit(m, now);
    }
  }

  /** It failed on several machines and succeeded nowhere: they are not to blame for it. */
  private void suspect(Job j, double now) {
    j.suspect = true;
    j.suspectSince = now;
    j.backoffCount = 0;
    pause(j, now);
    planner.onBroken(j.spec);
    cluster.log(
        j.spec.id()
            + " fails on every machine, "
            + j.failedMachines.size()
            + " so far: tried one task at a time from now on");
    for (String name : j.failedMachines) {
      Machine m = cluster.machines.get(name);
      if (m == null || m.errorJobs.remove(j.spec.id()) == null) {
        continue;
      }
      if (m.faulty && m.errorJobs.size() < 2 && !m.scalingIn) {
        m.faulty = false;
        m.drain = false;
        cluster.log("machine " + m.name + " is used again: the jobs were at fault");
      }
      if (m.errorJobs.isEmpty()) {
        m.quarantineUntil = Double.NEGATIVE_INFINITY;
        cluster.roomVersion++;
      }
    }
    cluster.roundNeeded = true;
  }

  /** The machine fails everything, so that jobs are not to blame for what failed there. */
  private void acquit(Machine m, double now) {
    for (Job j : cluster.jobs.values()) {
      boolean met = j.failedMachines.remove(m.name);
      if (met && j.suspect && j.failedMachines.size() < cluster.policy.tuning().attemptCap()) {
        clear(j, now);
      }
    }
  }

  private void pause(Job j, double now) {
    double pause = JOB_BACKOFF_S * Math.pow(2, Math.min(8, j.backoffCount++));
    j.notBefore = now + Math.min(LONGEST_JOB_BACKOFF_S, pause);
  }

  /** A task of the claim runs, or is done: neither its job nor its machine fails everything. */
  void good(Machine m, Claim c, double now) {
    Job j = c.job;
    if (!j.ranWell || j.unproven || j.suspect) {
      j.ranWell = true;
      j.unproven = false;
      cluster.roundNeeded = true;
      if (j.suspect) {
        clear(j, now);
      }
    }
    // What was started before the machine fell sick goes on there, and shows nothing.
    if (c.claimedAt > m.lastErrorAt) {
      m.errorJobs.clear();
    }
  }

  private void clear(Job j, double now) {
    j.suspect = false;
    j.backoffCount = 0;
    j.notBefore = now;
    j.failedMachines.clear();
    cluster.roundNeeded = true;
    cluster.roomVersion++;
    cluster.log(j.spec.id() + " is not at fault: its machines were");
  }
}

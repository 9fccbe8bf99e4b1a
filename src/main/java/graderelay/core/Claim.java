package graderelay.core;

/**
 * The claim of one task attempt on a machine, from the moment the claim is sent to the key-value
 * store until its end is committed there. Quota, zone spread and free resources are computed from
 * claims, not from heartbeats.
 */
final class Claim {
  /** State of the claim's record in the key-value store. */
  enum Phase {
    /** The transaction that adds the claim is in flight; the attempt must not be launched. */
    CLAIMING,
    /** The claim is committed. */
    COMMITTED,
    /** The attempt is proven to have ended; the transaction that records it has yet to commit. */
    ENDING
  }

  /** Status of this attempt's launch command, as far as the current leader can tell. */
  enum LaunchState {
    /** No launch command is in flight that a worker could still execute. */
    NONE,
    /** Sent in a heartbeat response; the next heartbeat shows whether it was executed. */
    IN_RESPONSE,
    /** Sent directly to the worker, which has not responded yet. */
    DIRECT,
    /** Sent directly without a response: the worker may still execute it minutes later. */
    UNACKNOWLEDGED,
    /** A heartbeat has listed the attempt, or the worker has executed the command. */
    CONFIRMED
  }

  final Job job;
  final int task;
  final int attempt;
  final String machine;

  /** The incarnation of the machine's worker for which the attempt is claimed. */
  final long session;

  /** When it was claimed, or when this leader first read it from the store. */
  final double claimedAt;

  /** The job's priority at the time of the claim; totals per priority count the claim under it. */
  final Priority priority;

  /** Zone in which the claim is counted, or null until the machine's zone is known. */
  String zone;

  Phase phase = Phase.CLAIMING;
  LaunchState launchState = LaunchState.NONE;

  /** Term under which the latest launch command was sent. */
  long launchTerm;

  /** Sequence number of the heartbeat whose response contained the launch command. */
  long launchHeartbeatSeq;

  /** When the latest launch command was sent. */
  double launchedAt;

  /** True if loaded from the records of an earlier leader, which may have launched the attempt. */
  boolean fromEarlierLeader;

  /** Stage in the last heartbeat that listed the attempt, or null if none did. */
  Heartbeat.Stage stage;

  double stageSince;

  /** When a heartbeat first listed the attempt as running, or 0. */
  double runningSince;

  /** True if it ran long enough to count as a success of its job and its machine. */
  boolean ranLongEnough;

  /** True if the leader requested a stop for a reason other than the job's cancellation. */
  boolean stopRequested;

  double stopRequestedAt;

  /** True if it must stop at once, without a grace period to save its progress. */
  boolean stopWithoutGrace;

  /** The job for which this claim is being preempted, or null. */
  Job preemptedFor;

  /** When a kill was last sent directly to its worker. */
  double lastKillAt = Double.NEGATIVE_INFINITY;

  /** In phase ENDING: true if the task is done. */
  boolean taskDone;

  Claim(Job job, int task, int attempt, String machine, long session, double claimedAt) {
    this.job = job;
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    this.session = session;
    this.claimedAt = claimedAt;
    this.priority = job.priority();
    this.stageSince = claimedAt;
  }

  /** The task's id on workers and in the API. */
  String taskId() {
    return job.spec.taskId(task);
  }

  /** The resources that the attempt uses on its machine. */
  Resources resources() {
    return job.taskResources;
  }

  /** True if the claim is committed and no launch command exists that could still start it. */
  boolean neverLaunched() {
    return phase == Phase.COMMITTED && launchState == LaunchState.NONE && !fromEarlierLeader;
  }

  /**
   * True while a direct launch may still start it, however late it arrives. A launch in a heartbeat
   * response is not executed late.
   */
  boolean hasUnresolvedDirectLaunch() {
    return launchState == LaunchState.DIRECT || launchState == LaunchState.UNACKNOWLEDGED;
  }
}

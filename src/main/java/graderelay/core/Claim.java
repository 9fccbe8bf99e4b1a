package graderelay.core;

/**
 * One attempt of one task that is claimed on a machine, from the moment the claim is sent to the
 * key-value store until its end is committed there. Quota, spread and room count claims, not
 * heartbeats.
 */
final class Claim {
  /** How far the claim's record in the key-value store is. */
  enum Phase {
    /** The transaction that claims it is under way; nothing may start. */
    CLAIMING,
    /** The claim is committed. */
    COMMITTED,
    /** It is proven gone; the transaction that says so has yet to commit. */
    ENDING
  }

  /** What is known of the launch command of this attempt under the present leader. */
  enum Launch {
    /** No command is under way that could still be carried out. */
    NONE,
    /** Sent in a heartbeat's response: decided as soon as the next heartbeat arrives. */
    IN_RESPONSE,
    /** Sent straight to the worker and not answered yet. */
    DIRECT,
    /** Sent straight, and no answer came: it may be carried out minutes later. */
    UNACKNOWLEDGED,
    /** A heartbeat has shown the attempt. */
    CONFIRMED
  }

  final Job job;
  final int task;
  final int attempt;
  final String machine;

  /** The incarnation of the machine's worker that it is claimed on. */
  final long session;

  /** When it was claimed, or first seen by this leader. */
  final double claimedAt;

  /** Its job's when it was claimed; sums count it under this. */
  final Priority priority;

  /** Zone it is counted in, null until the machine is located. */
  String zone;

  Phase phase = Phase.CLAIMING;
  Launch launch = Launch.NONE;

  /** The term under which the latest launch was sent. */
  long launchTerm;

  /** Sequence number of the heartbeat whose response carried the launch. */
  long launchHeartbeatSeq;

  /** When the latest launch was sent. */
  double launchedAt;

  /** Loaded from the records of an earlier leader, who may have launched it. */
  boolean fromEarlierLeader;

  /** What the last heartbeat showed of it, or null before that. */
  Heartbeat.Stage stage;

  double stageSince;

  /** When a heartbeat first showed it running, 0 before that. */
  double runningSince;

  /** It has run for a while, which speaks for its job and its machine. */
  boolean ranLongEnough;

  /** Asked to stop by the leader for a reason other than its job's cancellation. */
  boolean stopRequested;

  double stopRequestedAt;

  /** It is to stop at once, without time to save its progress. */
  boolean stopWithoutGrace;

  /** The job that this claim makes room for, or null. */
  Job preemptedFor;

  /** When a kill was last sent straight to its worker. */
  double lastKillAt = Double.NEGATIVE_INFINITY;

  /** When ending: true if the task is done. */
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

  /** The task's id, as workers and the API name it. */
  String taskId() {
    return job.spec.taskId(task);
  }

  /** What the attempt takes of its machine. */
  Resources resources() {
    return job.taskResources;
  }

  /** True if the claim is live and nothing that could still start it is under way. */
  boolean neverLaunched() {
    return phase == Phase.COMMITTED && launch == Launch.NONE && !fromEarlierLeader;
  }

  /** True while a launch command may still start it although no heartbeat shows it. */
  boolean launchUnresolved() {
    return launch == Launch.DIRECT
        || launch == Launch.UNACKNOWLEDGED
        || launch == Launch.IN_RESPONSE;
  }
}

package graderelay.core;

/** Identifies one attempt of one task, as in a worker's heartbeat. */
record AttemptKey(String task, int attempt) {
  /** The key of the claimed attempt. */
  static AttemptKey of(Claim claim) {
    return new AttemptKey(claim.taskId(), claim.attempt);
  }

  /** The key of an attempt that a heartbeat lists. */
  static AttemptKey of(Heartbeat.TaskStatus status) {
    return new AttemptKey(status.task(), status.attempt());
  }

  /** The key of the attempt that the command targets. */
  static AttemptKey of(WorkerCommand command) {
    return new AttemptKey(command.task(), command.attempt());
  }
}

package graderelay.core;

/** Names one attempt of one task, as a worker's heartbeat names it. */
record AttemptKey(String task, int attempt) {
  /** The attempt that the claim is for. */
  static AttemptKey of(Claim claim) {
    return new AttemptKey(claim.taskId(), claim.attempt);
  }

  /** The attempt that an entry of a heartbeat shows. */
  static AttemptKey of(Heartbeat.Entry entry) {
    return new AttemptKey(entry.task(), entry.attempt());
  }

  /** The attempt that the command is about. */
  static AttemptKey of(WorkerCommand command) {
    return new AttemptKey(command.task(), command.attempt());
  }
}

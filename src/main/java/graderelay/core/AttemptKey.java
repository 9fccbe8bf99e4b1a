package graderelay.core;

/** Names one attempt of one task, as a worker's heartbeat names it. */
record AttemptKey(String task, int attempt) {
  static AttemptKey of(Claim claim) {
    return new AttemptKey(claim.taskId(), claim.attempt);
  }

  static AttemptKey of(Heartbeat.Entry entry) {
    return new AttemptKey(entry.task(), entry.attempt());
  }

  static AttemptKey of(WorkerCommand command) {
    return new AttemptKey(command.task(), command.attempt());
  }
}

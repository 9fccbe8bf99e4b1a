package graderelay.core;

/** A command to a worker about one attempt of one task. */
public sealed interface WorkerCommand {
  /** The task's id. */
  String task();

  /** The number of the attempt. */
  int attempt();

  /** Starts the attempt, or does nothing if the worker has it in any state. */
  record Launch(String task, int attempt) implements WorkerCommand {}

  /** Ends it, after it has saved its progress if {@code graceS} seconds allow that. */
  record Kill(String task, int attempt, double graceS) implements WorkerCommand {}

  /** Takes an ended attempt out of the worker's heartbeats, after which the worker forgets it. */
  record Reap(String task, int attempt) implements WorkerCommand {}
}

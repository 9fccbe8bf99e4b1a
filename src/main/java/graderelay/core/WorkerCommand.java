package graderelay.core;

/** What a worker is told about one attempt of one task. */
public sealed interface WorkerCommand {
  String task();

  int attempt();

  /** Starts the attempt, or does nothing if the worker has it in any state. */
  record Launch(String task, int attempt) implements WorkerCommand {}

  /** Ends it, after it saved its progress if {@code graceS} allows that. */
  record Kill(String task, int attempt, double graceS) implements WorkerCommand {}

  /** Takes an ended attempt out of the worker's reports, after which the worker forgets it. */
  record Reap(String task, int attempt) implements WorkerCommand {}
}

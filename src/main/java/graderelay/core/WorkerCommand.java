package graderelay.core;

/** A command to a worker for one task attempt. */
public sealed interface WorkerCommand {
  /** The task's id. */
  String task();

  /** The number of the attempt. */
  int attempt();

  /** Starts the attempt; does nothing if the worker already has it, in any state. */
  record Launch(String task, int attempt) implements WorkerCommand {}

  /** Stops the attempt; it has {@code graceS} seconds to save its progress. */
  record Kill(String task, int attempt, double graceS) implements WorkerCommand {}

  /** Removes an exited attempt from the worker and its heartbeats. */
  record Reap(String task, int attempt) implements WorkerCommand {}
}

package graderelay.core;

/** The form of a job: tasks that each run to completion, or replicas that run until cancelled. */
public enum Kind {
  ARRAY,
  SERVICE
}

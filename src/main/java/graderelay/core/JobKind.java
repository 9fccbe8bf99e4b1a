package graderelay.core;

/**
 * The kind of a job: an array of tasks that each run to completion, or a service whose replicas run
 * until cancelled.
 */
public enum JobKind {
  ARRAY,
  SERVICE
}

package graderelay.core;

/**
 * The components that control workers. They are created together because they share the rate limit
 * of direct commands.
 *
 * @param launcher launches the attempts of committed claims
 * @param stopper stops cancelled, preempted and drained attempts
 * @param prober probes silent workers
 * @param fencing raises the term to fence unacknowledged launches
 */
record WorkerControl(
    TaskLauncher launcher, TaskStopper stopper, SilentWorkerProber prober, LaunchFencing fencing) {
  /** Creates the components with a shared rate limiter for direct commands. */
  static WorkerControl create(ClusterState cluster, StoredRecords records) {
    DirectCommandRateLimiter rateLimiter = new DirectCommandRateLimiter(cluster);
    return new WorkerControl(
        new TaskLauncher(cluster, records, rateLimiter),
        new TaskStopper(cluster, records, rateLimiter),
        new SilentWorkerProber(cluster, rateLimiter),
        new LaunchFencing(cluster));
  }
}

package graderelay.core;

/**
 * The parts that tell workers what to do, built together since they share the rate of direct
 * commands.
 *
 * @param launches starts what has committed
 * @param stops stops what is cancelled, preempted or drained
 * @param probes asks silent workers
 * @param fencing raises the term against late launches
 */
record WorkerTasks(
    TaskLaunches launches, TaskStops stops, SilentWorkerProbes probes, LaunchFencing fencing) {
  /** Builds the parts with one rate of direct commands. */
  static WorkerTasks create(ClusterState cluster, StoredRecords records) {
    DirectCommandRate rate = new DirectCommandRate(cluster);
    return new WorkerTasks(
        new TaskLaunches(cluster, records, rate),
        new TaskStops(cluster, records, rate),
        new SilentWorkerProbes(cluster, rate),
        new LaunchFencing(cluster));
  }
}

package graderelay.core;

import java.util.List;

/**
 * The terms of a job as its user gave them. They never change after acceptance, so a claim that was
 * decided on them stays valid until the record itself changes.
 *
 * @param id the name of the job
 * @param jobClass the class of jobs that share objectives and typical run times
 * @param team the team whose quota it counts against
 * @param tasks tasks of an array, or replicas of a service
 * @param cpus CPUs that each task needs
 * @param gpus GPUs that each task needs
 * @param memGb memory that each task needs, in gigabytes
 * @param image the image that each task runs
 * @param imageGb size of that image, in gigabytes
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param oneZone whether all tasks have to be in one zone
 * @param spread whether tasks have to be spread over zones
 * @param spot whether tasks may run on spot instances
 * @param estimateS the user's estimate of a task's run time in seconds, 0 if there is none
 * @param checkpointS seconds between checkpoints of a task, 0 if it makes none
 * @param saveS seconds that a task takes to save its progress when it is stopped
 * @param deadlineS seconds from submission, or null
 * @param submittedMs time of day at acceptance, in milliseconds since 1970
 * @param batchCapacity tasks in one task batch; fixed at acceptance, so that stored task batches
 *     keep their place
 * @param dependencies jobs that have to be done before any task of this one starts (DAG
 *     dependencies)
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Kind kind,
    Priority priority,
    int tasks,
    double cpus,
    double gpus,
    double memGb,
    String image,
    double imageGb,
    List<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spot,
    double estimateS,
    double checkpointS,
    double saveS,
    Double deadlineS,
    long submittedMs,
    int batchCapacity,
    List<String> dependencies) {

  /** True if a machine of this type is among the allowed ones and could hold a task when empty. */
  public boolean fits(MachineType type) {
    return (types == null || types.contains(type.name()))
        && (zone == null || type.zones().contains(zone))
        && cpus <= type.cpus() + Resources.SLACK
        && gpus <= type.gpus() + Resources.SLACK
        && memGb <= type.memGb() + Resources.SLACK;
  }

  /** The same job with other dependencies: those that are done need not be kept. */
  public JobSpec needing(List<String> newDependencies) {
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        cpus,
        gpus,
        memGb,
        image,
        imageGb,
        types,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        checkpointS,
        saveS,
        deadlineS,
        submittedMs,
        batchCapacity,
        List.copyOf(newDependencies));
  }

  /** The most tasks that may be in one zone: half of them rounded up when they are to be spread. */
  public int zoneLimit() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /** The user's name of one task. */
  public String taskId(int task) {
    return id + "/" + task;
  }

  /** The task batch that a task belongs to. */
  public int batchOf(int task) {
    return task / batchCapacity;
  }

  /** How many tasks task batch {@code index} has. */
  public int batchSize(int index) {
    return Math.min(batchCapacity, tasks - index * batchCapacity);
  }

  /** True for replicas that run until cancelled, false for a job array. */
  public boolean isService() {
    return kind == Kind.SERVICE;
  }
}

package graderelay.core;

import java.util.List;

/**
 * A job as its user specified it. A spec never changes after acceptance, so a claim that was
 * decided by it stays valid until the stored job record changes.
 *
 * @param id the job's id
 * @param jobClass the class of jobs that share objectives and typical run times
 * @param team the team whose quota the job counts against
 * @param kind whether the job is an array or a service
 * @param priority the priority that the user requested
 * @param tasks number of tasks of an array, or of replicas of a service
 * @param cpus CPUs that each task needs
 * @param gpus GPUs that each task needs
 * @param memGb memory that each task needs, in gigabytes
 * @param image the image that each task runs
 * @param imageGb size of that image, in gigabytes
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param oneZone whether all tasks have to be in the same zone
 * @param spread whether tasks have to be spread over zones
 * @param spot whether tasks may run on spot instances
 * @param estimateS the user's estimate of a task's run time in seconds, 0 if there is none
 * @param checkpointS seconds between checkpoints of a task, 0 if it makes none
 * @param saveS seconds that a task takes to save its progress when it is stopped
 * @param deadlineS seconds from submission to the deadline, or null
 * @param submittedMs time of day at acceptance, in milliseconds since 1970
 * @param batchCapacity number of tasks in one task batch; fixed at acceptance, so that each task
 *     stays in the batch that it is stored in
 * @param dependencies ids of the jobs that have to be done before any task of this one starts
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
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

  /** True if the job allows this machine type and an empty machine of it has room for a task. */
  public boolean fits(MachineType type) {
    return (types == null || types.contains(type.name()))
        && (zone == null || type.zones().contains(zone))
        && cpus <= type.cpus() + Resources.ROUNDING_TOLERANCE
        && gpus <= type.gpus() + Resources.ROUNDING_TOLERANCE
        && memGb <= type.memGb() + Resources.ROUNDING_TOLERANCE;
  }

  /** A copy with other dependencies; those that are already done can be left out. */
  public JobSpec withDependencies(List<String> newDependencies) {
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

  /** The maximum number of tasks in one zone: half of them, rounded up, for a job to be spread. */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }

  /** The id of a task in the API and in worker commands. */
  public String taskId(int task) {
    return id + "/" + task;
  }

  /** The index of the task batch that a task belongs to. */
  public int batchIndexOf(int task) {
    return task / batchCapacity;
  }

  /** The number of tasks in the task batch at this index. */
  public int batchSize(int index) {
    return Math.min(batchCapacity, tasks - index * batchCapacity);
  }

  /** True for a service, whose replicas run until cancelled; false for a job array. */
  public boolean isService() {
    return kind == JobKind.SERVICE;
  }
}

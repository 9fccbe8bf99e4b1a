package graderelay.core;

import java.util.List;

/**
 * Builds job specs for tests of the core. By default an array of one task with 1 CPU, 1 GB and an
 * expected run time of 10 s, which may use spot machines in any zone and has no deadline.
 */
final class JobSpecBuilder {
  private static final int BATCH_CAPACITY = 500;

  private final String id;
  private String jobClass = "batch";
  private String team = "team";
  private JobKind kind = JobKind.ARRAY;
  private Priority priority = Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double memGb = 1;
  private String image = "i";
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spot = true;
  private double estimateS = 10;
  private Double deadlineS;

  private JobSpecBuilder(String id) {
    this.id = id;
  }

  /** Starts the spec of an array. */
  static JobSpecBuilder array(String id) {
    return new JobSpecBuilder(id);
  }

  /** Starts the spec of a service, which is of production priority and can't use spot machines. */
  static JobSpecBuilder service(String id) {
    JobSpecBuilder builder = new JobSpecBuilder(id);
    builder.kind = JobKind.SERVICE;
    builder.jobClass = "web";
    builder.priority = Priority.PROD;
    builder.spot = false;
    builder.estimateS = 0;
    return builder;
  }

  JobSpecBuilder jobClass(String newJobClass) {
    jobClass = newJobClass;
    return this;
  }

  JobSpecBuilder team(String newTeam) {
    team = newTeam;
    return this;
  }

  JobSpecBuilder priority(Priority newPriority) {
    priority = newPriority;
    return this;
  }

  JobSpecBuilder tasks(int newTasks) {
    tasks = newTasks;
    return this;
  }

  /** CPUs, and as many gigabytes of memory, that each task needs. */
  JobSpecBuilder taskSize(double newTaskSize) {
    cpus = newTaskSize;
    memGb = newTaskSize;
    return this;
  }

  /** Gigabytes of memory that each task needs. */
  JobSpecBuilder memGb(double newMemGb) {
    memGb = newMemGb;
    return this;
  }

  JobSpecBuilder image(String newImage) {
    image = newImage;
    return this;
  }

  JobSpecBuilder zone(String newZone) {
    zone = newZone;
    return this;
  }

  JobSpecBuilder oneZone() {
    oneZone = true;
    return this;
  }

  JobSpecBuilder spread(boolean newSpread) {
    spread = newSpread;
    return this;
  }

  JobSpecBuilder onDemandOnly() {
    spot = false;
    return this;
  }

  /** The user's estimate of a task's run time, in seconds. */
  JobSpecBuilder estimateS(double newEstimateS) {
    estimateS = newEstimateS;
    return this;
  }

  /** Seconds from submission to the deadline, or null. */
  JobSpecBuilder deadlineS(Double newDeadlineS) {
    deadlineS = newDeadlineS;
    return this;
  }

  JobSpec build() {
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        cpus,
        0,
        memGb,
        image,
        1,
        null,
        zone,
        oneZone,
        spread,
        spot,
        estimateS,
        0,
        0,
        deadlineS,
        0,
        BATCH_CAPACITY,
        List.of());
  }
}

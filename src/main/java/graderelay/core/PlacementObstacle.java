package graderelay.core;

/** Why a machine can't be given a task of a job now. */
enum PlacementObstacle {
  /** The job may not use machines of its type. */
  OTHER_TYPE("of another type"),

  /** The job may not use machines of its zone. */
  OTHER_ZONE("in another zone"),

  /** It is a spot machine, which the job may not use. */
  SPOT("spot machines"),

  /** It is being emptied by a consolidation. */
  CONSOLIDATING("being consolidated"),

  /** A task of the job failed there. */
  AVOIDED("avoided after a failure of the job there"),

  /** The job's other tasks rule its zone out. */
  ZONE_TAKEN("in a zone that its other tasks rule out"),

  /** It takes no tasks of any job, see {@link MachineAvailability}. */
  UNAVAILABLE("unavailable"),

  /** Too little of it is free. */
  FULL("full");

  /** A description for operators, which follows a number of machines. */
  final String text;

  PlacementObstacle(String text) {
    this.text = text;
  }

  /** True if the machine may have room that the job is kept from. */
  boolean isExclusion() {
    return this == CONSOLIDATING || this == AVOIDED;
  }
}

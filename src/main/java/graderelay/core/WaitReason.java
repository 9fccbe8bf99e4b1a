package graderelay.core;

/**
 * Why the last placement round placed no task of a job.
 *
 * @param cause the kind of reason, which also tells what ends the wait
 * @param text a description for operators
 */
record WaitReason(Cause cause, String text) {
  /** The kinds of reasons. */
  enum Cause {
    NEW("new", "the next placement round"),
    BACKOFF("backoff", "the end of a pause of at most 30 s"),
    ADMISSION("admission", "a change of the team's account or of its stored limits"),
    TEAM_LIMIT("team_limit", "the end of other tasks of the team, or a higher limit"),
    RESERVED_ROOM("reserved_room", "the commit of the claims above it"),
    TRIAL("trial", "a success or failure of the tasks that are tried first"),
    COMMIT("commit", "the commit of a change of its record"),
    RECORD_SIZE("record_size", "the end of some of its own tasks"),
    WRITE_RATE("write_rate", "the next placement round"),
    ROUND_LIMIT("round_limit", "the next placement round"),
    IMAGE("image", "room where its image is, or the end of its start objective"),
    NO_MACHINE("no_machine", "the heartbeat of a machine"),
    NO_ROOM("no_room", "the end of other tasks, a new machine, or the end of an exclusion");

    /** The value of the metric's tag. */
    final String label;

    /** The event that ends the wait. */
    final String endedBy;

    Cause(String label, String endedBy) {
      this.label = label;
      this.endedBy = endedBy;
    }
  }

  /** The reason of a job that no round has tried to place yet. */
  static final WaitReason NEW = new WaitReason(Cause.NEW, "new");

  /** The reason of a job that yields to commits in flight of work of higher priority. */
  static final WaitReason RESERVED_ROOM =
      new WaitReason(Cause.RESERVED_ROOM, "room is kept for work above it");

  /** The reason of a job of which only a few tasks may run until one succeeds. */
  static final WaitReason TRIAL =
      new WaitReason(
          Cause.TRIAL, "a few of its tasks are tried first, since it may fail on every machine");

  /** The reason of a job whose task batch is being written. */
  static final WaitReason COMMIT =
      new WaitReason(Cause.COMMIT, "a change of its slice is being committed");

  /** The reason of a job whose task batch record can't grow. */
  static final WaitReason RECORD_SIZE =
      new WaitReason(Cause.RECORD_SIZE, "its record is as large as the state service allows");

  /** The reason of a job for which no writes are left in the round. */
  static final WaitReason WRITE_RATE =
      new WaitReason(Cause.WRITE_RATE, "changes of the state service are used up for the moment");

  /** The reason of a job that may change no further record in the round. */
  static final WaitReason ROUND_LIMIT = new WaitReason(Cause.ROUND_LIMIT, "slice cap of a round");

  /** The reason of a job that waits a little for a machine with its image. */
  static final WaitReason IMAGE =
      new WaitReason(Cause.IMAGE, "room is being made where its image is");

  /** The reason of a job while no machine may be given tasks. */
  static final WaitReason NO_MACHINE = new WaitReason(Cause.NO_MACHINE, "no machine reports");

  /** The reason of a job that no machine has room for, of those that it may use. */
  static final WaitReason NO_ROOM = new WaitReason(Cause.NO_ROOM, "no room on an allowed machine");
}

package graderelay.features;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The stored records of feature levels, as the {@link UpgradeCoordinator} reads and changes them.
 */
public interface ClusterStore {
  /** How a change of the stored records ended. */
  enum Outcome {
    /** Committed. */
    DONE,
    /** A condition failed: somebody has changed a record meanwhile. */
    CONFLICT,
    /** Not carried out, or nobody knows whether it was. */
    UNKNOWN
  }

  /** True while this controller leads and its copy of the records is complete. */
  boolean isLeader();

  /** What the controllers have published of themselves, by name. */
  Map<String, Member> publishedMembers();

  /** True if operators have asked to stay at the present level. */
  boolean isLevelHeld();

  /**
   * Changes the level by one conditional write, with the election records in the layout of the new
   * level and under a higher term.
   *
   * @param on records of members that must not have changed meanwhile
   */
  void changeLevel(
      ClusterLevel newLevel, Collection<Member> expectedMembers, Consumer<Outcome> done);

  /** Begins a downgrade, and asks to stay there: from then on nothing above the target is used. */
  void beginDowngrade(ClusterLevel newLevel, Consumer<Outcome> done);

  /** Asks to stay at the present level, or takes that back. */
  void setLevelHeld(boolean held, Consumer<Outcome> done);

  /**
   * Reads which keys only a feature uses, as they are in the store now; null if it can't be read.
   */
  void readKeys(Feature feature, Consumer<List<String>> done);

  /** Removes some of those keys, as many as one transaction may. */
  void removeKeys(List<String> keys, Consumer<Outcome> done);

  /**
   * Writes what a feature needs beside the change of the level, where that did not fit one
   * transaction; calls back with true once nothing is missing.
   */
  void completeRecords(Feature feature, Consumer<Boolean> done);
}

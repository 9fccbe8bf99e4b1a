package graderelay.features;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The stored records of feature levels, as the {@link UpgradeCoordinator} reads and changes them.
 */
public interface ClusterStore {
  /** The outcome of a change of the stored records. */
  enum Outcome {
    /** Committed. */
    DONE,
    /** A condition failed because a record was changed concurrently. */
    CONFLICT,
    /** Not committed, or it is unknown whether it was. */
    UNKNOWN
  }

  /** True if this controller is the leader and its copy of the records is complete. */
  boolean isLeader();

  /** The published member records by controller name. */
  Map<String, Member> publishedMembers();

  /** True if operators hold the current level. */
  boolean isLevelHeld();

  /**
   * Changes the level in one conditional transaction, which also writes the election records in the
   * layout of the new level and raises the term.
   *
   * @param expectedMembers member records that must be unchanged when the transaction commits
   */
  void changeLevel(
      ClusterLevel newLevel, Collection<Member> expectedMembers, Consumer<Outcome> done);

  /**
   * Begins a downgrade and holds the level; features above the target are disabled from then on.
   */
  void beginDowngrade(ClusterLevel newLevel, Consumer<Outcome> done);

  /** Holds the current level or releases the hold. */
  void setLevelHeld(boolean held, Consumer<Outcome> done);

  /**
   * Reads the keys currently stored that only this feature uses; calls back with null on failure.
   */
  void readKeys(Feature feature, Consumer<List<String>> done);

  /** Removes as many of the keys as fit one transaction. */
  void removeKeys(List<String> keys, Consumer<Outcome> done);

  /**
   * Writes the records of a feature that did not fit the transaction that raised the level; calls
   * back with true once all are stored.
   */
  void completeRecords(Feature feature, Consumer<Boolean> done);
}

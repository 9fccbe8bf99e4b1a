package graderelay.features;

import graderelay.features.ClusterStore.Outcome;
import graderelay.features.UpgradeCoordinator.Result;
import java.util.Collection;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one change of the cluster's feature level that this leader may have in flight, as a state
 * machine. A raise goes from {@code STEADY} to {@code RAISING} and back. A downgrade goes to {@code
 * STARTING_DOWNGRADE} and back, then, with each tick of the {@link UpgradeCoordinator}, to {@code
 * REMOVING_RECORDS} and back, until nothing is left to remove and it goes on to {@code LOWERING}.
 */
final class LevelTransition {
  /** What is in flight. */
  enum Phase {
    /** Nothing; the level may be changed. */
    STEADY,
    /** The transaction that raises the level. */
    RAISING,
    /** The write that announces a downgrade. */
    STARTING_DOWNGRADE,
    /** Reads and removals of records that only features above a downgrade's target use. */
    REMOVING_RECORDS,
    /** The transaction that lowers the level. */
    LOWERING
  }

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final FeatureGate gate;
  private final ClusterStore store;
  private Phase phase = Phase.STEADY;

  LevelTransition(FeatureGate gate, ClusterStore store) {
    this.gate = gate;
    this.store = store;
  }

  /** True while a change is in flight, so that no other may begin. */
  boolean isInFlight() {
    return phase != Phase.STEADY;
  }

  /** Goes to a phase, or back to {@link Phase#STEADY}. */
  void enter(Phase next) {
    phase = next;
  }

  /**
   * Changes the level by one transaction.
   *
   * @param during {@link Phase#RAISING} or {@link Phase#LOWERING}
   * @param on records of members that must not have changed meanwhile
   * @param onConflict the answer if a condition fails
   */
  void changeLevel(
      Phase transitionPhase,
      ClusterLevel newLevel,
      Collection<Member> expectedMembers,
      String onConflict,
      Consumer<Result> done) {
    enter(transitionPhase);
    int previousLevel = gate.current().level();
    store.changeLevel(
        newLevel,
        expectedMembers,
        outcome -> {
          enter(Phase.STEADY);
          if (outcome == Outcome.DONE) {
            LOG.info(
                "the cluster's feature level goes from {} to {}", previousLevel, newLevel.level());
          }
          String onDone = "the cluster's feature level is " + newLevel.level();
          done.accept(Result.of(outcome, onDone, onConflict));
        });
  }
}

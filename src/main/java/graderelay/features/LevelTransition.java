package graderelay.features;

import graderelay.features.ClusterStore.Outcome;
import graderelay.features.UpgradeCoordinator.Result;
import java.util.Collection;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The state machine for a change of the cluster's feature level; a leader may have only one change
 * in flight. A raise enters {@code RAISING} and returns to {@code STEADY}. A downgrade enters
 * {@code STARTING_DOWNGRADE} and returns, then enters {@code REMOVING_RECORDS} and returns on each
 * tick of the {@link UpgradeCoordinator}, until no records are left and it enters {@code LOWERING}.
 */
final class LevelTransition {
  /** The operation in flight. */
  enum Phase {
    /** None; a change may begin. */
    STEADY,
    /** The transaction that raises the level. */
    RAISING,
    /** The write that records the start of a downgrade. */
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

  /** True while an operation is in flight, so that no other may begin. */
  boolean isInFlight() {
    return phase != Phase.STEADY;
  }

  /** Enters a phase, or returns to {@link Phase#STEADY}. */
  void enter(Phase next) {
    phase = next;
  }

  /**
   * Changes the level in one transaction.
   *
   * @param transitionPhase {@link Phase#RAISING} or {@link Phase#LOWERING}
   * @param expectedMembers member records that must be unchanged when the transaction commits
   * @param conflictMessage the message of the result if a condition fails
   */
  void changeLevel(
      Phase transitionPhase,
      ClusterLevel newLevel,
      Collection<Member> expectedMembers,
      String conflictMessage,
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
                "changed the cluster's feature level from {} to {}",
                previousLevel,
                newLevel.level());
          }
          String doneMessage = "the cluster's feature level is " + newLevel.level();
          done.accept(Result.of(outcome, doneMessage, conflictMessage));
        });
  }
}

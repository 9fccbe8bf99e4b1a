package graderelay.features;

import graderelay.features.ClusterStore.Outcome;
import graderelay.features.LevelTransition.Phase;
import graderelay.features.UpgradeCoordinator.Result;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lowers the cluster's feature level step by step. The target stands in the stored level, so that a
 * new leader goes on where the one before has stopped.
 */
final class Downgrade {
  private static final String CHANGED_CONCURRENTLY =
      "somebody else has changed the level meanwhile";

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final FeatureGate gate;
  private final ClusterStore store;
  private final LevelTransition transition;

  Downgrade(FeatureGate gate, ClusterStore store, LevelTransition transition) {
    this.gate = gate;
    this.store = store;
    this.transition = transition;
  }

  /** An operator asks to go down to a level. */
  void request(int target, Consumer<Result> done) {
    ClusterLevel current = gate.current();
    List<Blocker> blockers = membersNotSupporting(target);
    if (target < Feature.BASE_LEVEL || target >= current.level()) {
      done.accept(
          new Result.Refused(
              "level must be from " + Feature.BASE_LEVEL + " to " + (current.level() - 1)));
    } else if (current.isLowering() && target != current.target()) {
      done.accept(new Result.Refused("a downgrade to " + current.target() + " is under way"));
    } else if (!blockers.isEmpty()) {
      done.accept(new Result.Refused("level " + target + ": " + Blocker.describe(blockers)));
    } else if (transition.isInFlight()) {
      done.accept(new Result.Unavailable("another change of the level is under way"));
    } else if (current.isLowering()) {
      done.accept(new Result.Accepted("the downgrade to " + target + " is under way"));
    } else {
      start(new ClusterLevel(current.level(), target), done);
    }
  }

  /** Controllers whose program does not support so low a level any more. */
  private List<Blocker> membersNotSupporting(int target) {
    List<Blocker> blockers = new ArrayList<>();
    store.publishedMembers().values().stream()
        .filter(member -> !member.range().supports(target))
        .map(member -> new Blocker(member.name(), "supports feature levels " + member.range()))
        .forEach(blockers::add);
    return blockers;
  }

  private void start(ClusterLevel newLevel, Consumer<Result> done) {
    transition.enter(Phase.STARTING_DOWNGRADE);
    store.beginDowngrade(
        newLevel,
        outcome -> {
          transition.enter(Phase.STEADY);
          if (outcome == Outcome.DONE) {
            LOG.info("the cluster's feature level is being lowered to {}", newLevel.target());
          }
          String onDone = "the downgrade to " + newLevel.target() + " is under way";
          done.accept(Result.of(outcome, onDone, CHANGED_CONCURRENTLY));
        });
  }

  /**
   * Takes the next step of a downgrade: removes records that only the newest feature above the
   * target uses, and lowers the level once a read shows that none of any such feature is left.
   * Since every transaction is conditioned on the stored level, nobody writes any more of them
   * meanwhile.
   */
  void advance() {
    transition.enter(Phase.REMOVING_RECORDS);
    int target = gate.current().target();
    removeRecords(featuresAbove(target), 0, target);
  }

  /** The features that may still have records, the newest first. */
  private List<Feature> featuresAbove(int target) {
    List<Feature> above = new ArrayList<>();
    for (Feature feature : Feature.values()) {
      if (feature.level() > target && gate.mayHaveRecords(feature)) {
        above.add(0, feature);
      }
    }
    return above;
  }

  /** Goes on from the feature at this index; all before it have no records. */
  private void removeRecords(List<Feature> features, int index, int target) {
    if (index == features.size()) {
      transition.changeLevel(
          Phase.LOWERING, ClusterLevel.of(target), List.of(), CHANGED_CONCURRENTLY, answer -> {});
      return;
    }
    store.readKeys(
        features.get(index),
        keys -> {
          if (keys == null) {
            transition.enter(Phase.STEADY); // Read again with the next tick.
          } else if (keys.isEmpty()) {
            removeRecords(features, index + 1, target);
          } else {
            store.removeKeys(keys, outcome -> transition.enter(Phase.STEADY));
          }
        });
  }
}

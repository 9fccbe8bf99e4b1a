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
 * Lowers the cluster's feature level step by step. The target is part of the stored level, so that
 * a new leader continues where the previous one stopped.
 */
final class Downgrade {
  private static final String CHANGED_CONCURRENTLY = "the feature level was changed concurrently";

  private static final Logger LOG = LoggerFactory.getLogger("features");

  private final FeatureGate gate;
  private final ClusterStore store;
  private final LevelTransition transition;

  Downgrade(FeatureGate gate, ClusterStore store, LevelTransition transition) {
    this.gate = gate;
    this.store = store;
    this.transition = transition;
  }

  /** Handles an operator's request to downgrade to a level. */
  void request(int target, Consumer<Result> done) {
    ClusterLevel current = gate.current();
    List<Blocker> blockers = membersNotSupporting(target);
    if (target < Feature.BASE_LEVEL || target >= current.level()) {
      done.accept(
          new Result.Refused(
              "level must be from " + Feature.BASE_LEVEL + " to " + (current.level() - 1)));
    } else if (current.isLowering() && target != current.target()) {
      done.accept(new Result.Refused("a downgrade to " + current.target() + " is in progress"));
    } else if (!blockers.isEmpty()) {
      done.accept(new Result.Refused("level " + target + ": " + Blocker.describe(blockers)));
    } else if (transition.isInFlight()) {
      done.accept(new Result.Unavailable("another change of the feature level is in progress"));
    } else if (current.isLowering()) {
      done.accept(new Result.Accepted("the downgrade to " + target + " is under way"));
    } else {
      start(new ClusterLevel(current.level(), target), done);
    }
  }

  /** The controllers whose program does not support the target level. */
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
            LOG.info(
                "started the downgrade of the cluster's feature level to {}", newLevel.target());
          }
          String doneMessage = "the downgrade to " + newLevel.target() + " is under way";
          done.accept(Result.of(outcome, doneMessage, CHANGED_CONCURRENTLY));
        });
  }

  /**
   * Performs the next step of a downgrade: removes records that only the newest feature above the
   * target uses, or lowers the level if a read shows that no such records are left for any feature.
   * Every transaction is conditioned on the stored level, so no controller can write such records
   * meanwhile.
   */
  void advance() {
    transition.enter(Phase.REMOVING_RECORDS);
    int target = gate.current().target();
    removeRecords(featuresAbove(target), 0, target);
  }

  /** The features above the target that may still have records, the newest first. */
  private List<Feature> featuresAbove(int target) {
    List<Feature> above = new ArrayList<>();
    for (Feature feature : Feature.values()) {
      if (feature.level() > target && gate.mayHaveRecords(feature)) {
        above.add(0, feature);
      }
    }
    return above;
  }

  /** Continues from the feature at {@code index}; those before it have no records left. */
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
            transition.enter(Phase.STEADY); // The next tick retries.
          } else if (keys.isEmpty()) {
            removeRecords(features, index + 1, target);
          } else {
            store.removeKeys(keys, outcome -> transition.enter(Phase.STEADY));
          }
        });
  }
}

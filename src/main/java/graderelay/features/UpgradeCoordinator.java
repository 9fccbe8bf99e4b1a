package graderelay.features;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * Raises and lowers the cluster's feature level while this controller is the leader. A failover
 * loses no state: a downgrade continues from its stored record, and the members are probed again.
 */
public final class UpgradeCoordinator {
  /** Seconds without a response after which a controller's soak time restarts. */
  private static final double MAX_MEMBER_SILENCE_S = 3.2;

  /** The result of an operator's request. */
  public sealed interface Result {
    /** Done, or started if it takes several steps. */
    record Accepted(String message) implements Result {}

    /** Not possible in the current state; the message names the field or the controller. */
    record Refused(String message) implements Result {}

    /** Temporarily not possible; the request may be retried. */
    record Unavailable(String message) implements Result {}

    /** The result of a request whose write to the store had the given outcome. */
    static Result of(ClusterStore.Outcome outcome, String doneMessage, String conflictMessage) {
      return switch (outcome) {
        case DONE -> new Accepted(doneMessage);
        case CONFLICT -> new Refused(conflictMessage);
        case UNKNOWN -> new Unavailable("the state service did not answer");
      };
    }
  }

  private final FeatureGate gate;
  private final ClusterStore store;
  private final MemberProbe probe;
  private final UpgradePolicy policy;
  private final String self;
  private final String selfIncarnation;
  private final Collection<String> peers;
  private final DoubleSupplier clock;
  private final MemberLiveness liveness;
  private final LevelTransition transition;
  private final Downgrade downgrade;

  /** Features whose records are known to be complete, within this leader term. */
  private final Set<Feature> completedFeatures = new HashSet<>();

  private boolean wasLeader;

  /**
   * Creates the coordinator.
   *
   * @param self the name of this controller
   * @param selfIncarnation distinguishes this process from others of this controller
   * @param peers the names of the other configured controllers
   * @param clock a monotonic clock in seconds
   */
  public UpgradeCoordinator(
      FeatureGate gate,
      ClusterStore store,
      MemberProbe probe,
      UpgradePolicy policy,
      String self,
      String selfIncarnation,
      Collection<String> peers,
      DoubleSupplier clock) {
    this.gate = gate;
    this.store = store;
    this.probe = probe;
    this.policy = policy;
    this.self = self;
    this.selfIncarnation = selfIncarnation;
    this.peers = List.copyOf(peers);
    this.clock = clock;
    this.liveness = new MemberLiveness(MAX_MEMBER_SILENCE_S);
    this.transition = new LevelTransition(gate, store);
    this.downgrade = new Downgrade(gate, store, transition);
  }

  // ---------------------------------------------------------------- ticks

  /** Performs the next step of a change of the level, if one is due; to be called once a second. */
  public void tick() {
    if (!store.isLeader() || !gate.isOpen()) {
      wasLeader = false;
      return;
    }
    if (!wasLeader) {
      wasLeader = true;
      liveness.clear(); // Members may have been restarted unnoticed since an earlier term.
      completedFeatures.clear();
    }
    if (transition.isInFlight()) {
      return;
    }
    if (gate.current().isLowering()) {
      downgrade.advance();
    } else {
      completeFeatures();
      raiseIfDue();
    }
  }

  /** Writes the records of enabled features that did not fit the raising transaction. */
  private void completeFeatures() {
    for (Feature feature : Feature.values()) {
      if (gate.isEnabled(feature) && !completedFeatures.contains(feature)) {
        store.completeRecords(
            feature,
            complete -> {
              if (complete) {
                completedFeatures.add(feature);
              }
            });
      }
    }
  }

  private void raiseIfDue() {
    int commonLevel = commonLevel();
    if (commonLevel <= gate.current().level()) {
      return;
    }
    probeMembers();
    if (policy.automatic() && !store.isLevelHeld() && blockers(commonLevel).isEmpty()) {
      raise(commonLevel, answer -> {});
    }
  }

  /** Queries every controller for the incarnation of its process. */
  private void probeMembers() {
    double sentAt = clock.getAsDouble();
    liveness.onResponse(self, selfIncarnation, sentAt);
    for (String peer : peers) {
      probe.fetchIncarnation(
          peer,
          incarnation -> {
            if (incarnation != null) {
              liveness.onResponse(peer, incarnation, sentAt);
            }
          });
    }
  }

  // ---------------------------------------------------------------- conditions

  /** The highest level that all configured controllers have published support for. */
  public int commonLevel() {
    return Finalization.commonLevel(configuredMembers(), store.publishedMembers());
  }

  /**
   * The controllers that prevent a level from being finalized, according to this leader's probes.
   */
  public List<Blocker> blockers(int level) {
    return Finalization.blockers(
        level,
        configuredMembers(),
        store.publishedMembers(),
        liveness,
        policy.soakS(),
        clock.getAsDouble());
  }

  private List<String> configuredMembers() {
    List<String> names = new ArrayList<>(peers);
    names.add(self);
    return names;
  }

  // ---------------------------------------------------------------- operators' requests

  /** Handles an operator's request to finalize a higher level. */
  public void finalizeLevel(int level, Consumer<Result> done) {
    int current = gate.current().level();
    if (gate.current().isLowering()) {
      done.accept(new Result.Refused("a downgrade is in progress"));
    } else if (level == current) {
      done.accept(new Result.Accepted("the cluster's feature level is " + current));
    } else if (level < current) {
      done.accept(
          new Result.Refused(
              "level " + level + " is below " + current + "; use a downgrade instead"));
    } else if (!blockers(level).isEmpty()) {
      done.accept(new Result.Refused("level " + level + ": " + Blocker.describe(blockers(level))));
    } else if (transition.isInFlight()) {
      done.accept(new Result.Unavailable("another change of the feature level is in progress"));
    } else {
      raise(level, done);
    }
  }

  private void raise(int level, Consumer<Result> done) {
    Map<String, Member> published = store.publishedMembers();
    List<Member> expectedMembers = new ArrayList<>();
    configuredMembers().forEach(name -> expectedMembers.add(published.get(name)));
    transition.changeLevel(
        LevelTransition.Phase.RAISING,
        ClusterLevel.of(level),
        expectedMembers,
        "a controller changed its published feature levels concurrently",
        done);
  }

  /** Handles an operator's request to hold the current level or to release the hold. */
  public void hold(boolean held, Consumer<Result> done) {
    String doneMessage = held ? "the present level is held" : "the hold is taken back";
    String conflictMessage = "the hold was changed concurrently";
    store.setLevelHeld(
        held, outcome -> done.accept(Result.of(outcome, doneMessage, conflictMessage)));
  }

  /** Handles an operator's request to downgrade to a level. */
  public void downgrade(int level, Consumer<Result> done) {
    downgrade.request(level, done);
  }
}

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
 * Raises and lowers the cluster's feature level while this controller leads. It keeps no state that
 * a failover would lose: a downgrade goes on from its record, and which members are up is probed
 * anew.
 */
public final class UpgradeCoordinator {
  /** Seconds without an answer after which a controller's soak time begins anew. */
  private static final double MAX_MEMBER_SILENCE_S = 3.2;

  /** What an operator is told. */
  public sealed interface Result {
    /** Done, or under way if it takes several steps. */
    record Accepted(String message) implements Result {}

    /** It can't be done as things are; the message names the field or the controller. */
    record Refused(String message) implements Result {}

    /** It may be asked again later. */
    record Unavailable(String message) implements Result {}

    /** The answer to a request that ended in a write to the store. */
    static Result of(ClusterStore.Outcome outcome, String onDone, String onConflict) {
      return switch (outcome) {
        case DONE -> new Accepted(onDone);
        case CONFLICT -> new Refused(onConflict);
        case UNKNOWN -> new Unavailable("the state service gave no answer");
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

  /** Features whose records are known to be complete, in this time of leadership. */
  private final Set<Feature> completedFeatures = new HashSet<>();

  private boolean wasLeader;

  /**
   * Makes the coordinator.
   *
   * @param self the name of this controller
   * @param selfIncarnation tells this process from earlier and later ones of this controller
   * @param peers the names of the other configured controllers
   * @param clock seconds on a clock that never goes back
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

  /** Takes the next step of a change of the level, if one is due; to be called once a second. */
  public void tick() {
    if (!store.isLeader() || !gate.isOpen()) {
      wasLeader = false;
      return;
    }
    if (!wasLeader) {
      wasLeader = true;
      liveness.clear(); // Members may have been restarted unseen since an earlier term.
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

  /** Asks every controller which process it is. */
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

  /** The level that all configured controllers have published support for. */
  public int commonLevel() {
    return Finalization.commonLevel(configuredMembers(), store.publishedMembers());
  }

  /** The controllers that keep the cluster from a level, as far as this leader has probed them. */
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

  /** An operator asks to go to a higher level. */
  public void finalizeLevel(int level, Consumer<Result> done) {
    int current = gate.current().level();
    if (gate.current().isLowering()) {
      done.accept(new Result.Refused("a downgrade is under way"));
    } else if (level == current) {
      done.accept(new Result.Accepted("the cluster's feature level is " + current));
    } else if (level < current) {
      done.accept(
          new Result.Refused("level " + level + " is below " + current + "; that is a downgrade"));
    } else if (!blockers(level).isEmpty()) {
      done.accept(new Result.Refused("level " + level + ": " + Blocker.describe(blockers(level))));
    } else if (transition.isInFlight()) {
      done.accept(new Result.Unavailable("another change of the level is under way"));
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
        "a controller has published other feature levels meanwhile",
        done);
  }

  /** An operator asks to stay at the present level, or to go on. */
  public void hold(boolean held, Consumer<Result> done) {
    String onDone = held ? "the present level is held" : "the hold is taken back";
    String onConflict = "somebody else has changed the hold meanwhile";
    store.setLevelHeld(held, outcome -> done.accept(Result.of(outcome, onDone, onConflict)));
  }

  /** An operator asks to go down to a level. */
  public void downgrade(int level, Consumer<Result> done) {
    downgrade.request(level, done);
  }
}

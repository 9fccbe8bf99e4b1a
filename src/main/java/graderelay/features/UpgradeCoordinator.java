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
  private static final double MEMBER_SILENT_S = 3.2;

  /** What an operator is told. */
  public sealed interface Answer {
    /** Done, or under way if it takes several steps. */
    record Accepted(String message) implements Answer {}

    /** It can't be done as things are; the message names the field or the controller. */
    record Refused(String message) implements Answer {}

    /** It may be asked again later. */
    record Unavailable(String message) implements Answer {}

    /** The answer to a request that ended in a write to the store. */
    static Answer of(ClusterStore.Outcome outcome, String onDone, String onConflict) {
      return switch (outcome) {
        case DONE -> new Accepted(onDone);
        case CONFLICT -> new Refused(onConflict);
        case UNANSWERED -> new Unavailable("the state service gave no answer");
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
  private final Set<Feature> completed = new HashSet<>();

  private boolean leading;

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
    this.liveness = new MemberLiveness(MEMBER_SILENT_S);
    this.transition = new LevelTransition(gate, store);
    this.downgrade = new Downgrade(gate, store, transition);
  }

  // ---------------------------------------------------------------- ticks

  /** Takes the next step of a change of the level, if one is due; to be called once a second. */
  public void tick() {
    if (!store.leads() || !gate.isOpen()) {
      leading = false;
      return;
    }
    if (!leading) {
      leading = true;
      liveness.clear(); // Members may have been restarted unseen since an earlier term.
      completed.clear();
    }
    if (transition.isInFlight()) {
      return;
    }
    if (gate.current().lowering()) {
      downgrade.advance();
    } else {
      completeFeatures();
      raiseIfDue();
    }
  }

  /** Writes the records of enabled features that did not fit the raising transaction. */
  private void completeFeatures() {
    for (Feature feature : Feature.values()) {
      if (gate.enabled(feature) && !completed.contains(feature)) {
        store.complete(
            feature,
            complete -> {
              if (complete) {
                completed.add(feature);
              }
            });
      }
    }
  }

  private void raiseIfDue() {
    int common = commonLevel();
    if (common <= gate.current().level()) {
      return;
    }
    probeMembers();
    if (policy.automatic() && !store.held() && blockers(common).isEmpty()) {
      raise(common, answer -> {});
    }
  }

  /** Asks every controller which process it is. */
  private void probeMembers() {
    double sentAt = clock.getAsDouble();
    liveness.heard(self, selfIncarnation, sentAt);
    for (String peer : peers) {
      probe.incarnation(
          peer,
          incarnation -> {
            if (incarnation != null) {
              liveness.heard(peer, incarnation, sentAt);
            }
          });
    }
  }

  // ---------------------------------------------------------------- conditions

  /** The level that all configured controllers have published support for. */
  public int commonLevel() {
    return Finalization.commonLevel(configured(), store.published());
  }

  /** The controllers that keep the cluster from a level, as far as this leader has probed them. */
  public List<Blocker> blockers(int level) {
    return Finalization.blockers(
        level, configured(), store.published(), liveness, policy.soakS(), clock.getAsDouble());
  }

  private List<String> configured() {
    List<String> all = new ArrayList<>(peers);
    all.add(self);
    return all;
  }

  // ---------------------------------------------------------------- operators' requests

  /** An operator asks to go to a higher level. */
  public void finalizeLevel(int level, Consumer<Answer> done) {
    int current = gate.current().level();
    if (gate.current().lowering()) {
      done.accept(new Answer.Refused("a downgrade is under way"));
    } else if (level == current) {
      done.accept(new Answer.Accepted("the cluster's feature level is " + current));
    } else if (level < current) {
      done.accept(
          new Answer.Refused("level " + level + " is below " + current + "; that is a downgrade"));
    } else if (!blockers(level).isEmpty()) {
      done.accept(new Answer.Refused("level " + level + ": " + Blocker.describe(blockers(level))));
    } else if (transition.isInFlight()) {
      done.accept(new Answer.Unavailable("another change of the level is under way"));
    } else {
      raise(level, done);
    }
  }

  private void raise(int level, Consumer<Answer> done) {
    Map<String, Member> published = store.published();
    List<Member> on = new ArrayList<>();
    configured().forEach(name -> on.add(published.get(name)));
    transition.changeLevel(
        LevelTransition.Phase.RAISING,
        ClusterLevel.of(level),
        on,
        "a controller has published other feature levels meanwhile",
        done);
  }

  /** An operator asks to stay at the present level, or to go on. */
  public void hold(boolean on, Consumer<Answer> done) {
    String onDone = on ? "the present level is held" : "the hold is taken back";
    String onConflict = "somebody else has changed the hold meanwhile";
    store.hold(on, outcome -> done.accept(Answer.of(outcome, onDone, onConflict)));
  }

  /** An operator asks to go down to a level. */
  public void downgrade(int level, Consumer<Answer> done) {
    downgrade.request(level, done);
  }
}

package graderelay.features;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's duty to raise and lower the cluster's feature level. It keeps no state that a
 * takeover would lose: a downgrade goes on from its record, and who is up is found out anew.
 */
public final class UpgradeCoordinator {
  /** Seconds without an answer after which a controller's soak time begins anew. */
  private static final double MEMBER_SILENT_S = 3.2;

  private static final Logger LOG = LoggerFactory.getLogger("features");

  /** What an operator is told. */
  public sealed interface Answer {
    /** Done, or under way if it takes several steps. */
    record Accepted(String message) implements Answer {}

    /** It can't be done as things are; the message names the field or the controller. */
    record Refused(String message) implements Answer {}

    /** It may be asked again later. */
    record Unavailable(String message) implements Answer {}
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
  private boolean changing;
  private boolean led;
  private final java.util.Set<Feature> completed = new java.util.HashSet<>();

  /**
   * Makes the duty.
   *
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
  }

  private List<String> configured() {
    List<String> all = new ArrayList<>(peers);
    all.add(self);
    return all;
  }

  /** Looks at what is to be done; to be called about once a second. */
  public void tick() {
    if (!store.leads() || !gate.isOpen()) {
      led = false;
      return;
    }
    if (!led) {
      led = true;
      liveness.clear(); // What was seen under an earlier term may have changed unseen.
      completed.clear();
    }
    if (changing) {
      return;
    }
    if (gate.current().lowering()) {
      lower();
      return;
    }
    completeFeatures();
    int common = commonLevel();
    if (common <= gate.current().level()) {
      return;
    }
    ask();
    if (policy.automatic() && !store.held() && blockers(common).isEmpty()) {
      raise(common, answer -> {});
    }
  }

  /** Asks everybody which process it is. */
  private void ask() {
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

  /** The level that all configured controllers have published support for. */
  public int commonLevel() {
    return Finalization.commonLevel(configured(), store.published());
  }

  /** What keeps the cluster from a level, as far as this leader has seen. */
  public List<Blocker> blockers(int level) {
    return Finalization.blockers(
        level, configured(), store.published(), liveness, policy.soakS(), clock.getAsDouble());
  }

  // ---------------------------------------------------------------- raising

  /** An operator's word to go to a level. */
  public void finalizeLevel(int level, Consumer<Answer> done) {
    int now = gate.current().level();
    if (gate.current().lowering()) {
      done.accept(new Answer.Refused("a downgrade is under way"));
    } else if (level == now) {
      done.accept(new Answer.Accepted("the cluster's feature level is " + now));
    } else if (level < now) {
      done.accept(
          new Answer.Refused("level " + level + " is below " + now + "; that is a downgrade"));
    } else if (!blockers(level).isEmpty()) {
      done.accept(new Answer.Refused("level " + level + ": " + describe(blockers(level))));
    } else if (changing) {
      done.accept(new Answer.Unavailable("another change of the level is under way"));
    } else {
      raise(level, done);
    }
  }

  private static String describe(List<Blocker> blockers) {
    List<String> all = new ArrayList<>();
    blockers.forEach(b -> all.add(b.toString()));
    return String.join("; ", all);
  }

  private void raise(int level, Consumer<Answer> done) {
    Map<String, Member> published = store.published();
    List<Member> on = new ArrayList<>();
    configured().forEach(name -> on.add(published.get(name)));
    change(
        ClusterLevel.of(level),
        on,
        "a controller has published other feature levels meanwhile",
        done);
  }

  private void change(
      ClusterLevel to, Collection<Member> on, String onConflict, Consumer<Answer> done) {
    changing = true;
    int from = gate.current().level();
    store.changeLevel(
        to,
        on,
        outcome -> {
          changing = false;
          if (outcome == ClusterStore.Outcome.DONE) {
            LOG.info("the cluster's feature level goes from {} to {}", from, to.level());
          }
          done.accept(answer(outcome, "the cluster's feature level is " + to.level(), onConflict));
        });
  }

  private static Answer answer(ClusterStore.Outcome outcome, String done, String conflict) {
    return switch (outcome) {
      case DONE -> new Answer.Accepted(done);
      case CONFLICT -> new Answer.Refused(conflict);
      case UNANSWERED -> new Answer.Unavailable("the state service gave no answer");
    };
  }

  /** What did not fit the transaction that raised the level. */
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

  /** An operator's word to stay at the present level, or to go on. */
  public void hold(boolean on, Consumer<Answer> done) {
    store.hold(
        on,
        outcome ->
            done.accept(
                answer(
                    outcome,
                    on ? "the present level is held" : "the hold is taken back",
                    "somebody else has changed the hold meanwhile")));
  }

  // ---------------------------------------------------------------- lowering

  /** An operator's word to go down to a level. */
  public void downgrade(int level, Consumer<Answer> done) {
    ClusterLevel now = gate.current();
    List<Blocker> blockers = new ArrayList<>();
    store.published().values().stream()
        .filter(m -> !m.range().supports(level))
        .forEach(m -> blockers.add(new Blocker(m.name(), "supports feature levels " + m.range())));
    if (level < Feature.BASE_LEVEL || level >= now.level()) {
      done.accept(
          new Answer.Refused(
              "level must be from " + Feature.BASE_LEVEL + " to " + (now.level() - 1)));
    } else if (now.lowering() && level != now.target()) {
      done.accept(new Answer.Refused("a downgrade to " + now.target() + " is under way"));
    } else if (!blockers.isEmpty()) {
      done.accept(new Answer.Refused("level " + level + ": " + describe(blockers)));
    } else if (changing) {
      done.accept(new Answer.Unavailable("another change of the level is under way"));
    } else if (now.lowering()) {
      done.accept(new Answer.Accepted("the downgrade to " + level + " is under way"));
    } else {
      beginLowering(new ClusterLevel(now.level(), level), done);
    }
  }

  private void beginLowering(ClusterLevel to, Consumer<Answer> done) {
    changing = true;
    store.beginLowering(
        to,
        outcome -> {
          changing = false;
          if (outcome == ClusterStore.Outcome.DONE) {
            LOG.info("the cluster's feature level is being lowered to {}", to.target());
          }
          done.accept(
              answer(
                  outcome,
                  "the downgrade to " + to.target() + " is under way",
                  "somebody else has changed the level meanwhile"));
        });
  }

  /**
   * The next step of a downgrade: removes what only the newest feature above the target uses, and
   * goes down once a read shows that nothing of any is left. Since every transaction is conditioned
   * on the record that says so, nobody writes any more of it meanwhile.
   */
  private void lower() {
    changing = true;
    int target = gate.current().target();
    List<Feature> above = new ArrayList<>();
    for (Feature f : Feature.values()) {
      if (f.level() > target && gate.present(f)) {
        above.add(0, f);
      }
    }
    clear(above, 0, target);
  }

  private void clear(List<Feature> features, int next, int target) {
    if (next == features.size()) {
      String conflict = "somebody else has changed the level meanwhile";
      change(ClusterLevel.of(target), List.of(), conflict, answer -> {});
      return;
    }
    store.keysOf(
        features.get(next),
        keys -> {
          if (keys == null) {
            changing = false; // Looked at again with the next tick.
          } else if (keys.isEmpty()) {
            clear(features, next + 1, target);
          } else {
            store.remove(keys, outcome -> changing = false);
          }
        });
  }
}

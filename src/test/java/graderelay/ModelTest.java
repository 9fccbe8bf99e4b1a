package graderelay;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.service.Settings;
import graderelay.sim.Fault;
import graderelay.sim.FaultInjector;
import graderelay.sim.Rules;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Random days: controllers, network, machines and state service fail in random ways while users
 * submit, poll and cancel. Every rule is judged as it goes. A failing day is made as short as
 * possible before it is printed.
 */
class ModelTest {
  private static final double DAY_S = 150;
  private static final double CALM_S = 150;

  /** Seconds within which users want every job to begin. */
  private static final double BEGIN_S = 240;

  private record Verdict(List<String> broken, List<String> trace) {}

  static List<Long> seeds() {
    List<Long> seeds = new ArrayList<>();
    if (Long.getLong("seed") != null) {
      return List.of(Long.getLong("seed"));
    }
    long n = Long.getLong("seeds", 60);
    for (long s = 1; s <= n; s++) {
      seeds.add(s);
    }
    return seeds;
  }

  /**
   * Deployments like the users' own: few machines whose workers report often, or many more whose
   * reports lie as far apart as a worker waits for an answer, in one to three zones.
   */
  private static SimWorld.Shape shape(long seed) {
    SimWorld.Shape s = SimWorld.Shape.of(seed % 2 == 0 ? 3 : 5);
    List<String> zones = List.of("a", "b", "c").subList(0, 1 + (int) (seed / 3 % 3));
    return switch ((int) (seed / 2 % 4)) {
      case 0 -> s;
      case 1 -> s.workers(2.5, 16).fleet(12, zones);
      case 2 -> s.workers(4, 22).fleet(30, zones);
      default -> s.workers(6, 30).fleet(16, zones);
    };
  }

  private static Verdict play(long seed, List<Fault> faults) {
    // On every third day the state service will allow less from some moment on.
    boolean lowers = seed % 3 == 1;
    SimWorld w =
        new SimWorld(
            seed, shape(seed), lowers ? new Settings.StateLimits(200, 2, 4) : SimWorld.SAME);
    SplittableRandom r = new SplittableRandom(seed * 31 + 7);
    List<Rules.Known> arrays = new ArrayList<>();
    List<Rules.Known> all = new ArrayList<>();
    for (int i = 0; i < 14; i++) {
      boolean service = r.nextInt(3) == 0;
      Rules.Known j =
          w.job(
              String.format("j-%06d", i),
              1 + r.nextInt(service ? 3 : 9),
              1 + r.nextInt(3),
              service ? 0 : 1 + r.nextDouble() * 15,
              !service && r.nextBoolean(),
              r.nextInt(3) == 0);
      j.guest = !service && r.nextInt(4) == 0;
      j.mistake = !service && r.nextInt(8) == 0;
      int node = r.nextInt(w.size);
      if (!service && r.nextInt(3) == 0) {
        j.needs = needs(all, r);
      }
      all.add(j);
      double at = 1 + r.nextDouble() * (DAY_S - 20);
      w.loop.after(at, () -> submitOnceNeededAreAccepted(w, node, j));
      if (service || j.mistake || r.nextInt(4) == 0) {
        w.loop.after(at + r.nextDouble() * 60, () -> cancelIfAccepted(w, r.nextInt(w.size), j));
      } else {
        arrays.add(j);
      }
      polls(w, j, node);
    }
    new FaultInjector(w).schedule(faults);
    if (lowers) {
      w.loop.after(20 + r.nextDouble() * (DAY_S - 40), () -> w.state.lower(2, 4));
    }
    // Stops at the first broken rule, so that the trace ends with it.
    for (int i = 0; i < DAY_S + CALM_S && w.rules.broken.isEmpty(); i++) {
      w.loop.run(1);
    }
    List<String> broken = new ArrayList<>(w.rules.broken);
    if (broken.isEmpty()) {
      for (Rules.Known j : arrays) {
        if (j.accepted && !j.cancelWanted() && !j.lastStage.equals("done")) {
          broken.add("never done: " + j.id + ", owner " + w.owner());
        }
      }
      broken.addAll(unanswered(w, all));
      if (w.state.tooLarge > 0) {
        broken.add("too large for the state service: " + w.state.tooLarge);
      }
      for (Rules.Known j : all) {
        // Also the largest: a job that is never begun, or only after that, has been passed over.
        boolean late = !(j.firstStart - j.acceptedAt <= BEGIN_S);
        if (j.accepted && !j.cancelAsked && j.needs.isEmpty() && late) {
          broken.add("not begun in time: " + j.id + " at " + j.firstStart);
        }
      }
    }
    return new Verdict(broken, w.rules.trace());
  }

  /** One or two of the earlier arrays. */
  private static List<Rules.Known> needs(List<Rules.Known> earlier, SplittableRandom r) {
    List<Rules.Known> some = new ArrayList<>();
    for (Rules.Known k : earlier) {
      if (!k.service() && some.size() < 2 && r.nextInt(3) == 0) {
        some.add(k);
      }
    }
    return some;
  }

  private static void submitOnceNeededAreAccepted(SimWorld w, int node, Rules.Known j) {
    if (j.needs.stream().allMatch(n -> n.accepted)) {
      w.submit(node, j);
    } else {
      w.loop.after(1, () -> submitOnceNeededAreAccepted(w, node, j));
    }
  }

  /** With all troubles over, every node answers for every job, within what a user waits. */
  private static List<String> unanswered(SimWorld w, List<Rules.Known> all) {
    List<String> missing = new ArrayList<>();
    for (Rules.Known j : all) {
      for (int i = 0; i < w.size && j.accepted; i++) {
        double asked = w.loop.now();
        int status = w.answer(i, "GET", "/v1/jobs/" + j.id, null).path("http").asInt();
        if (status != 200 || w.loop.now() - asked > 2) {
          missing.add("forgotten: " + j.id + " on m-" + i + ": " + status);
        }
      }
    }
    return missing;
  }

  private static void cancelIfAccepted(SimWorld w, int node, Rules.Known j) {
    if (j.accepted) {
      w.cancel(node, j);
    } else {
      w.loop.after(2, () -> cancelIfAccepted(w, node, j));
    }
  }

  private static void polls(SimWorld w, Rules.Known j, int node) {
    if (j.accepted) {
      w.poll(node, j);
      if (w.random.nextInt(8) == 0) {
        w.resubmit(w.random.nextInt(w.size), j);
      }
    }
    w.loop.after(2.3, () -> polls(w, j, (node + 1) % w.size));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRuleBreaksOnARandomDay(long seed) {
    List<Fault> faults = Fault.day(seed, DAY_S);
    Verdict v = play(seed, faults);
    if (!v.broken().isEmpty()) {
      boolean shorter = true;
      while (shorter) {
        shorter = false;
        for (int i = 0; i < faults.size(); i++) {
          List<Fault> less = new ArrayList<>(faults);
          less.remove(i);
          Verdict u = play(seed, less);
          if (!u.broken().isEmpty()) {
            faults = less;
            v = u;
            shorter = true;
            break;
          }
        }
      }
    }
    assertThat(v.broken())
        .as("seed %s, faults %s, trace:%n%s", seed, faults, String.join("\n", v.trace()))
        .isEmpty();
  }
}

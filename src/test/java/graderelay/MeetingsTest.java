package graderelay;

import static graderelay.StoryWords.fine;
import static graderelay.StoryWords.runner;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.service.Constants;
import graderelay.sim.Rules;
import graderelay.sim.SimWorld;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Short stories of two troubles that meet; the rules are judged all along. */
class MeetingsTest {
  private static final List<String> ONE_ZONE = List.of("a");

  private static SimWorld world(long seed, int size) {
    return StoryWords.world(seed, size);
  }

  private static SimWorld oneZone(long seed, int size) {
    SimWorld w = new SimWorld(seed, SimWorld.Shape.of(size).fleet(8, ONE_ZONE));
    w.loop.run(3);
    return w;
  }

  /** Services that run when the story begins. */
  private static Rules.Known[] running(SimWorld w, int jobs) {
    Rules.Known[] all = new Rules.Known[jobs];
    for (int i = 0; i < jobs; i++) {
      all[i] = w.job(String.format("j-0003%02d", i), 2, 1, 0, false);
      w.submit(i % w.size, all[i]);
    }
    w.loop.run(15);
    assertThat(w.rules.starts).isEqualTo(2 * jobs);
    return all;
  }

  private static void refuse(SimWorld w, int node, boolean on) {
    w.refused[node][0] = on;
  }

  private static int other(SimWorld w, int node) {
    return (node + 1) % w.size;
  }

  // ---------------------------------------------------------------- cancelled, then an outage

  @ParameterizedTest
  @CsvSource({
    "3, ab, 0.3, 0.4, 13", "3, ab, 0.3, 0.4, 90", "3, a, 0.3, 0.4, 60", "5, ab, 0.3, 0.4, 60",
    "5, a, 0.1, 0.2, 60", "3, ab, 0, 0.05, 60", "3, a, 1, 1.2, 60", "3, ab, 2, 2.1, 60",
    "3, a, 5, 5.1, 60", "5, ab, 9, 10, 60", "3, ab, 0.8, 10, 90", "1, a, 0, 0.05, 60"
  })
  void aCancellationThatTheOwnerCouldNotReadIsCarriedOutThroughAnOutageForAll(
      int size, String zones, double cancelAfter, double outageAfter, double length) {
    SimWorld w =
        new SimWorld(301, SimWorld.Shape.of(size).fleet(8, List.of(zones.split("(?<=.)"))));
    w.loop.run(3);
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    refuse(w, owner, size > 1);
    w.loop.run(cancelAfter);
    for (Rules.Known j : jobs) {
      w.cancel(other(w, owner), j);
    }
    w.loop.run(outageAfter - cancelAfter);
    w.state.outage(true);
    w.loop.run(14 - outageAfter);
    refuse(w, owner, false);
    w.loop.run(length);
    w.state.outage(false);
    w.loop.run(30);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"3, ab", "3, a", "5, ab", "5, a"})
  void theTasksOfAJobCancelledAtAnotherControllerAreStoppedWithinTheOutage(int size, String zones) {
    SimWorld w =
        new SimWorld(302, SimWorld.Shape.of(size).fleet(8, List.of(zones.split("(?<=.)"))));
    w.loop.run(3);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    refuse(w, owner, true);
    w.cancel(other(w, owner), jobs[0]);
    w.loop.run(0.1);
    w.state.outage(true);
    w.loop.run(0.5);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    // Everybody alive vouches for what it told: the job's tasks end, the others' go on.
    w.loop.run(8);
    assertThat(w.workers.values()).noneMatch(x -> x.running().contains(jobs[0].id + "/0"));
    assertThat(runner(w, jobs[1].id + "/0")).isNotNull();
    w.loop.run(2 * SimWorld.CANCEL_S);
    assertThat(runner(w, jobs[1].id + "/1")).isNotNull();
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    w.state.outage(false);
    refuse(w, owner, false);
    w.loop.run(20);
    assertThat(w.stage(0, jobs[0].id)).isEqualTo("cancelled");
    assertThat(w.stage(0, jobs[1].id)).isEqualTo("running");
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"a, 0.05, -1", "ab, 0.05, -1", "a, 0.05, 2", "ab, 1, 8", "a, 1, 0.2"})
  void aGatewayThatEndsRightAfterConfirmingTakesItsKnowledgeWithIt(
      String zones, double endsAfter, double backAfter) {
    SimWorld w = new SimWorld(303, SimWorld.Shape.of(3).fleet(8, List.of(zones.split("(?<=.)"))));
    w.loop.run(3);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    int gateway = other(w, owner);
    refuse(w, (owner + 2) % 3, true); // So that the third does not read of it either.
    w.loop.run(3);
    refuse(w, owner, true);
    // The owner and the gateway don't hear each other, so that it can't be told beforehand.
    w.net.cut("c" + owner, "c" + gateway);
    w.cancel(gateway, jobs[0]);
    w.loop.run(endsAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.crash(gateway);
    w.net.heal("c" + owner, "c" + gateway);
    if (backAfter > 0) {
      w.loop.after(backAfter, () -> w.start(gateway));
    }
    w.loop.run(2 * SimWorld.CANCEL_S);
    w.state.outage(false);
    for (int i = 0; i < 3; i++) {
      refuse(w, i, false);
    }
    w.loop.run(20);
    fine(w);
  }

  @ParameterizedTest
  @ValueSource(ints = {3, 5})
  void aBarredControllerConfirmsNoCancellationThatTheOwnerCannotRead(int size) {
    SimWorld w = oneZone(304, size);
    Rules.Known[] jobs = running(w, 2);
    int owner = w.owner();
    int barred = other(w, owner);
    // It is up and serves users, but the owner does not hear it.
    w.net.cut("c" + owner, "c" + barred);
    w.loop.run(Constants.BAR_AFTER_S + 3);
    for (int i = 0; i < size; i++) {
      refuse(w, i, i != owner && i != barred);
    }
    w.loop.run(3);
    refuse(w, owner, true);
    int told =
        w.answer(barred, "POST", "/v1/jobs/" + jobs[0].id + "/withdraw", null).path("http").asInt();
    assertThat(told).isEqualTo(503);
    w.loop.run(Constants.BAR_S - 8); // The owner counts on the bar meanwhile.
    assertThat(w.owner()).isEqualTo(owner);
    assertThat(w.rules.trace()).noneMatch(x -> x.contains("lease over"));
    fine(w);
  }

  @Test
  void aBarredControllerDoesNotRepeatWhatOthersHaveCancelled() {
    SimWorld w = oneZone(305, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    int barred = other(w, owner);
    w.net.cut("c" + owner, "c" + barred);
    w.loop.run(Constants.BAR_AFTER_S + 3);
    // The third records it, but hears of that as little as the owner does.
    int third = (owner + 2) % 3;
    w.net.cut("c" + barred, "c" + third);
    w.state.loseAnswer = t -> t.toString().contains("\"stop\":true");
    w.cancel(third, jobs[0]);
    refuse(w, owner, true);
    w.loop.run(0.02);
    refuse(w, third, true);
    w.loop.run(0.5);
    assertThat(w.answer(barred, "GET", "/v1/jobs/" + jobs[0].id, null).path("http").asInt())
        .isEqualTo(503);
    fine(w);
  }

  @ParameterizedTest
  @CsvSource({"true, 0.1", "true, 5", "false, 0.1", "false, 5"})
  void aDeputyKnowsNoMoreThanTheOwnerThatMadeItOne(boolean ownersZone, double outageAfter) {
    SimWorld w = world(306, 5);
    Rules.Known[] jobs = running(w, 3);
    int owner = w.owner();
    // The owner lives on promises already when the zone is cut.
    refuse(w, owner, true);
    for (int i = 0; i < 5; i++) {
      refuse(w, i, i != other(w, owner));
    }
    w.net.cut("c" + owner, "c" + other(w, owner));
    for (Rules.Known j : jobs) {
      w.cancel(other(w, owner), j);
    }
    w.loop.run(outageAfter);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.state.outage(true);
    w.net.cutZone((owner % 2 == 0) == ownersZone ? "a" : "b", true);
    w.loop.run(2 * SimWorld.CANCEL_S);
    fine(w);
  }

  @Test
  void anOwnerThatKnowsTooLittleGivesNoAnswerThatRenews() {
    SimWorld w = world(307, 3);
    Rules.Known[] jobs = running(w, 1);
    int owner = w.owner();
    int gateway = other(w, owner);
    // The gateway hears nobody; the third promises all that is asked of it.
    w.isolate(gateway, true);
    w.net.heal("c" + gateway, "state");
    refuse(w, owner, true);
    refuse(w, (owner + 2) % 3, true);
    w.cancel(gateway, jobs[0]);
    w.loop.run(0.2);
    assertThat(jobs[0].cancelAnswered).isNotNaN();
    w.loop.run(SimWorld.CANCEL_S + 10);
    assertThat(w.workers.values()).allMatch(x -> x.running().isEmpty());
    fine(w);
  }
}

package graderelay.api;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.sim.RandomDay;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.Json;
import graderelay.wire.UserCodec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What a submission may name as its dependencies, at every controller in every state. */
class BadDependenciesTest {
  private static final String OWN_ID = "j-000700";
  private static final String NEVER_ACCEPTED = "j-999999";

  /** The state of the controller that is asked. */
  private enum Asked {
    LEADER,
    FOLLOWER,
    JUST_STARTED,
    IN_AN_OUTAGE,
    REFUSED_ALONE
  }

  /** A world with an array that is done, one that runs and a service. */
  private static final class Jobs {
    final SimWorld world = world(451, 3);
    final SimJob over = world.users.job("j-000601", 1, 1, 1, true);
    final SimJob live = world.users.job("j-000602", 1, 1, 500, true);
    final SimJob service = world.users.job("j-000603", 1, 1, 0, false);

    Jobs() {
      List.of(over, live, service).forEach(job -> world.users.submit(0, job));
      world.loop.run(30);
      assertThat(world.users.stage(1, over.id)).isEqualTo("done");
      assertThat(world.users.stage(1, live.id)).isEqualTo("running");
    }

    /** Brings a controller into that state and returns which it is. */
    int bring(Asked how) {
      int leader = world.leader();
      int follower = (leader + 1) % world.size;
      switch (how) {
        case JUST_STARTED -> {
          world.crash(follower);
          world.start(follower);
        }
        case IN_AN_OUTAGE -> {
          world.store.outage(true);
          world.loop.run(5);
        }
        case REFUSED_ALONE -> {
          world.refused[follower][0] = true;
          world.loop.run(2);
        }
        default -> {}
      }
      return how == Asked.LEADER ? leader : follower;
    }

    ObjectNode submission(String names) {
      ObjectNode body = world.users.body(world.users.job(OWN_ID, 1, 1, 2, true));
      body.set("awaits", Json.read(names.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
      return body;
    }

    JsonNode submit(int controller, ObjectNode body) {
      return world.users.answer(controller, "POST", "/v1/jobs", Json.write(body));
    }
  }

  private static void assertRefused(JsonNode answer, int status, String... words) {
    assertThat(answer.path("http").asInt()).as(answer.toString()).isEqualTo(status);
    assertThat(answer.path("error").asText()).contains("awaits").contains(words);
  }

  @ParameterizedTest
  @EnumSource(Asked.class)
  void malformedDependencyListIsRefusedInEveryState(Asked how) {
    Jobs jobs = new Jobs();
    int controller = jobs.bring(how);
    assertRefused(jobs.submit(controller, jobs.submission("\"j-000601\"")), 400, "list");
    assertRefused(jobs.submit(controller, jobs.submission("{\"0\":\"j-000601\"}")), 400, "list");
    assertRefused(jobs.submit(controller, jobs.submission("7")), 400, "list");
    assertRefused(jobs.submit(controller, jobs.submission("[601]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[null]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[[\"j-000601\"]]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[\"\"]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[\"j-000601 \"]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[\"g/job/1\"]")), 400, "ids like");
    assertRefused(jobs.submit(controller, jobs.submission("[\"" + OWN_ID + "\"]")), 400, "itself");
    fine(jobs.world);
  }

  @ParameterizedTest
  @EnumSource(Asked.class)
  void whatWasNeverAcceptedOrNeverEndsIsRefusedOrPutOff(Asked how) {
    Jobs jobs = new Jobs();
    int controller = jobs.bring(how);
    boolean undecidable = how == Asked.IN_AN_OUTAGE || how == Asked.JUST_STARTED;
    for (String names :
        List.of(
            "[\"" + NEVER_ACCEPTED + "\"]",
            "[\"" + jobs.over.id + "\",\"" + NEVER_ACCEPTED + "\"]",
            "[\"" + jobs.service.id + "\"]")) {
      JsonNode answer = jobs.submit(controller, jobs.submission(names));
      int status = answer.path("http").asInt();
      if (undecidable) {
        assertThat(status).as(names).isIn(422, 503);
      } else {
        assertThat(status).as(names).isEqualTo(422);
      }
      assertThat(answer.path("error").asText()).isNotEmpty();
      if (status == 422) {
        assertThat(answer.path("error").asText()).contains("awaits").contains("j-");
      }
    }
    jobs.world.store.outage(false);
    jobs.world.loop.run(20);
    assertThat(jobs.world.users.stage(controller, OWN_ID)).isEmpty();
    fine(jobs.world);
  }

  @ParameterizedTest
  @EnumSource(Asked.class)
  void namesTwiceAndOfJobsLongOverAreTakenWhereverItCanBeDecided(Asked how) {
    Jobs jobs = new Jobs();
    int controller = jobs.bring(how);
    String twice = "[\"" + jobs.over.id + "\",\"" + jobs.over.id + "\"]";
    ObjectNode body = jobs.submission(twice);
    int status = jobs.submit(controller, body).path("http").asInt();
    if (how == Asked.IN_AN_OUTAGE || how == Asked.JUST_STARTED) {
      assertThat(status).isIn(201, 503);
    } else {
      assertThat(status).isEqualTo(201);
    }
    jobs.world.store.outage(false);
    jobs.world.loop.run(20);
    assertThat(jobs.submit(controller, body).path("http").asInt()).isIn(200, 201);
    jobs.world.loop.run(20);
    assertThat(jobs.world.users.stage(controller, OWN_ID)).isEqualTo("done");
    fine(jobs.world);
  }

  @ParameterizedTest
  @EnumSource(Asked.class)
  void retryOfAcceptedSubmissionIsNeverRefused(Asked how) {
    Jobs jobs = new Jobs();
    ObjectNode body = jobs.submission("[\"" + jobs.live.id + "\"]");
    assertThat(jobs.submit(0, body).path("http").asInt()).isEqualTo(201);
    jobs.world.users.cancel(1, jobs.live);
    jobs.world.loop.run(20);
    int controller = jobs.bring(how);
    int status = jobs.submit(controller, body).path("http").asInt();
    assertThat(status).isIn(200, 503);
    if (how == Asked.LEADER || how == Asked.FOLLOWER || how == Asked.REFUSED_ALONE) {
      assertThat(status).isEqualTo(200);
    }
    jobs.world.store.outage(false);
    jobs.world.loop.run(20);
    JsonNode later = jobs.submit(controller, body);
    assertThat(later.path("http").asInt()).isEqualTo(200);
    assertThat(later.path("stage").asText()).isEqualTo("cancelled");
    fine(jobs.world);
  }

  @Test
  void moreDependenciesThanAllowedAreRefusedWithTheLimit() {
    Jobs jobs = new Jobs();
    ObjectNode body = jobs.submission("[]");
    for (int i = 0; i <= UserCodec.MAX_DEPENDENCIES; i++) {
      body.withArray("awaits").add(jobs.over.id);
    }
    assertRefused(jobs.submit(1, body), 400, String.valueOf(UserCodec.MAX_DEPENDENCIES));
    fine(jobs.world);
  }

  /** What is done need not be kept; of what is not over yet, a record holds only so many names. */
  @Test
  void moreLiveDependenciesThanOneRecordHoldsAreRefusedWithReason() {
    SimWorld w = new SimWorld(452, WorldShape.of(3), RandomDay.LOWER);
    w.loop.run(3);
    w.users.answer(0, "POST", "/admin/claims/pause", null);
    ObjectNode body = w.users.body(w.users.job(OWN_ID, 1, 1, 2, true));
    for (int i = 0; i < 180; i++) {
      SimJob k = w.users.job(String.format("j-%06d", 8000 + i), 1, 1, 2, true);
      w.users.submit(i % 3, k);
      body.withArray("awaits").add(k.id);
    }
    w.loop.run(10);
    for (int i = 0; i < w.size; i++) {
      assertRefused(w.users.answer(i, "POST", "/v1/jobs", Json.write(body)), 400, "not over");
    }
    fine(w);
  }
}

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

/**
 * Tests the validation of a submission's dependencies on a leader, a follower, a controller that
 * has just started, during a store outage, and on a controller that is cut off from the store.
 */
class BadDependenciesTest {
  private static final String OWN_ID = "j-000700";
  private static final String NEVER_ACCEPTED = "j-999999";

  /** The state of the controller that receives the submission. */
  private enum ControllerState {
    LEADER,
    FOLLOWER,
    JUST_STARTED,
    STORE_OUTAGE,
    CUT_OFF_FROM_STORE
  }

  /** A simulated cluster with a finished array, a running array and a service. */
  private static final class Fixture {
    final SimWorld world = world(451, 3);
    final SimJob finished = world.users.job("j-000601", 1, 1, 1, true);
    final SimJob live = world.users.job("j-000602", 1, 1, 500, true);
    final SimJob service = world.users.job("j-000603", 1, 1, 0, false);

    Fixture() {
      List.of(finished, live, service).forEach(job -> world.users.submit(0, job));
      world.loop.run(30);
      assertThat(world.users.stage(1, finished.id)).isEqualTo("done");
      assertThat(world.users.stage(1, live.id)).isEqualTo("running");
    }

    /** Brings a controller into the given state and returns its index. */
    int bringControllerInto(ControllerState state) {
      int leader = world.leader();
      int follower = (leader + 1) % world.size;
      switch (state) {
        case JUST_STARTED -> {
          world.crash(follower);
          world.start(follower);
        }
        case STORE_OUTAGE -> {
          world.store.outage(true);
          world.loop.run(5);
        }
        case CUT_OFF_FROM_STORE -> {
          world.refused[follower][0] = true;
          world.loop.run(2);
        }
        default -> {}
      }
      return state == ControllerState.LEADER ? leader : follower;
    }

    ObjectNode submission(String dependencies) {
      ObjectNode body = world.users.body(world.users.job(OWN_ID, 1, 1, 2, true));
      body.set("awaits", Json.read(dependencies.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
      return body;
    }

    JsonNode submit(int controller, ObjectNode body) {
      return world.users.answer(controller, "POST", "/v1/jobs", Json.write(body));
    }
  }

  private static void assertRejected(JsonNode answer, int status, String... words) {
    assertThat(answer.path("http").asInt()).as(answer.toString()).isEqualTo(status);
    assertThat(answer.path("error").asText()).contains("awaits").contains(words);
  }

  @ParameterizedTest
  @EnumSource(ControllerState.class)
  void malformedDependencyListIsRejectedInEveryState(ControllerState state) {
    Fixture fixture = new Fixture();
    int controller = fixture.bringControllerInto(state);
    assertRejected(fixture.submit(controller, fixture.submission("\"j-000601\"")), 400, "list");
    assertRejected(
        fixture.submit(controller, fixture.submission("{\"0\":\"j-000601\"}")), 400, "list");
    assertRejected(fixture.submit(controller, fixture.submission("7")), 400, "list");
    assertRejected(fixture.submit(controller, fixture.submission("[601]")), 400, "ids like");
    assertRejected(fixture.submit(controller, fixture.submission("[null]")), 400, "ids like");
    assertRejected(
        fixture.submit(controller, fixture.submission("[[\"j-000601\"]]")), 400, "ids like");
    assertRejected(fixture.submit(controller, fixture.submission("[\"\"]")), 400, "ids like");
    assertRejected(
        fixture.submit(controller, fixture.submission("[\"j-000601 \"]")), 400, "ids like");
    assertRejected(
        fixture.submit(controller, fixture.submission("[\"g/job/1\"]")), 400, "ids like");
    assertRejected(
        fixture.submit(controller, fixture.submission("[\"" + OWN_ID + "\"]")), 400, "itself");
    fine(fixture.world);
  }

  @ParameterizedTest
  @EnumSource(ControllerState.class)
  void unknownOrServiceDependencyIsRejectedOrDeferred(ControllerState state) {
    Fixture fixture = new Fixture();
    int controller = fixture.bringControllerInto(state);
    boolean undecidable =
        state == ControllerState.STORE_OUTAGE || state == ControllerState.JUST_STARTED;
    for (String dependencies :
        List.of(
            "[\"" + NEVER_ACCEPTED + "\"]",
            "[\"" + fixture.finished.id + "\",\"" + NEVER_ACCEPTED + "\"]",
            "[\"" + fixture.service.id + "\"]")) {
      JsonNode answer = fixture.submit(controller, fixture.submission(dependencies));
      int status = answer.path("http").asInt();
      if (undecidable) {
        assertThat(status).as(dependencies).isIn(422, 503);
      } else {
        assertThat(status).as(dependencies).isEqualTo(422);
      }
      assertThat(answer.path("error").asText()).isNotEmpty();
      if (status == 422) {
        assertThat(answer.path("error").asText()).contains("awaits").contains("j-");
      }
    }
    fixture.world.store.outage(false);
    fixture.world.loop.run(20);
    assertThat(fixture.world.users.stage(controller, OWN_ID)).isEmpty();
    fine(fixture.world);
  }

  @ParameterizedTest
  @EnumSource(ControllerState.class)
  void duplicateAndFinishedDependenciesAreAcceptedUnlessStoreIsUnavailable(ControllerState state) {
    Fixture fixture = new Fixture();
    int controller = fixture.bringControllerInto(state);
    String duplicates = "[\"" + fixture.finished.id + "\",\"" + fixture.finished.id + "\"]";
    ObjectNode body = fixture.submission(duplicates);
    int status = fixture.submit(controller, body).path("http").asInt();
    if (state == ControllerState.STORE_OUTAGE || state == ControllerState.JUST_STARTED) {
      assertThat(status).isIn(201, 503);
    } else {
      assertThat(status).isEqualTo(201);
    }
    fixture.world.store.outage(false);
    fixture.world.loop.run(20);
    assertThat(fixture.submit(controller, body).path("http").asInt()).isIn(200, 201);
    fixture.world.loop.run(20);
    assertThat(fixture.world.users.stage(controller, OWN_ID)).isEqualTo("done");
    fine(fixture.world);
  }

  @ParameterizedTest
  @EnumSource(ControllerState.class)
  void retryOfAcceptedSubmissionIsNeverRejected(ControllerState state) {
    Fixture fixture = new Fixture();
    ObjectNode body = fixture.submission("[\"" + fixture.live.id + "\"]");
    assertThat(fixture.submit(0, body).path("http").asInt()).isEqualTo(201);
    fixture.world.users.cancel(1, fixture.live);
    fixture.world.loop.run(20);
    int controller = fixture.bringControllerInto(state);
    int status = fixture.submit(controller, body).path("http").asInt();
    assertThat(status).isIn(200, 503);
    if (state == ControllerState.LEADER
        || state == ControllerState.FOLLOWER
        || state == ControllerState.CUT_OFF_FROM_STORE) {
      assertThat(status).isEqualTo(200);
    }
    fixture.world.store.outage(false);
    fixture.world.loop.run(20);
    JsonNode later = fixture.submit(controller, body);
    assertThat(later.path("http").asInt()).isEqualTo(200);
    assertThat(later.path("stage").asText()).isEqualTo("cancelled");
    fine(fixture.world);
  }

  @Test
  void tooManyDependenciesAreRejectedWithTheLimit() {
    Fixture fixture = new Fixture();
    ObjectNode body = fixture.submission("[]");
    for (int i = 0; i <= UserCodec.MAX_DEPENDENCIES; i++) {
      body.withArray("awaits").add(fixture.finished.id);
    }
    assertRejected(fixture.submit(1, body), 400, String.valueOf(UserCodec.MAX_DEPENDENCIES));
    fine(fixture.world);
  }

  /**
   * Dependencies that are done are not stored; the ids of unfinished ones have to fit into the
   * record.
   */
  @Test
  void moreLiveDependenciesThanOneRecordHoldsAreRejectedWithReason() {
    SimWorld world = new SimWorld(452, WorldShape.of(3), RandomDay.LOWER);
    world.loop.run(3);
    world.users.answer(0, "POST", "/admin/claims/pause", null);
    ObjectNode body = world.users.body(world.users.job(OWN_ID, 1, 1, 2, true));
    for (int i = 0; i < 180; i++) {
      SimJob dependency = world.users.job(String.format("j-%06d", 8000 + i), 1, 1, 2, true);
      world.users.submit(i % 3, dependency);
      body.withArray("awaits").add(dependency.id);
    }
    world.loop.run(10);
    for (int i = 0; i < world.size; i++) {
      assertRejected(
          world.users.answer(i, "POST", "/v1/jobs", Json.write(body)), 400, "unfinished jobs");
    }
    fine(world);
  }
}

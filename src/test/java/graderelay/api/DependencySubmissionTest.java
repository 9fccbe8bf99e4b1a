package graderelay.api;

import static graderelay.sim.ScenarioSteps.accept;
import static graderelay.sim.ScenarioSteps.everywhere;
import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.Settings;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldShape;
import graderelay.wire.Json;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests submissions of jobs that depend on other jobs. */
class DependencySubmissionTest {
  private static SimJob job(
      SimWorld world, int number, int tasks, double runS, SimJob... dependencies) {
    SimJob job = world.users.job(String.format("j-0007%02d", number), tasks, 1, runS, true);
    job.dependencies = List.of(dependencies);
    return job;
  }

  private static int submitStatus(SimWorld world, int controller, JsonNode body) {
    return world
        .users
        .answer(controller, "POST", "/v1/jobs", Json.write(body))
        .path("http")
        .asInt();
  }

  @Test
  void dependenciesAreCheckedAgainstTheStoreOnEveryController() {
    SimWorld world = world(409, 3);
    SimJob first = job(world, 0, 1, 2);
    SimJob service = world.users.job("j-000790", 1, 1, 0, false);
    accept(world, 0, first);
    accept(world, 0, service);
    ObjectNode body = world.users.body(job(world, 1, 1, 2, first));
    for (int i = 0; i < 3; i++) {
      assertThat(submitStatus(world, i, withDependencies(body, "j-999999"))).isEqualTo(422);
      assertThat(submitStatus(world, i, withDependencies(body, first.id, "j-999999")))
          .isEqualTo(422);
      assertThat(submitStatus(world, i, withDependencies(body, service.id))).isEqualTo(422);
      assertThat(submitStatus(world, i, withDependencies(body, "j-000701")))
          .isEqualTo(400); // The job itself.
      assertThat(submitStatus(world, i, withDependencies(body, "000700"))).isEqualTo(400);
      assertThat(submitStatus(world, i, body.deepCopy().put("awaits", first.id))).isEqualTo(400);
    }
    world.loop.run(20);
    assertThat(submitStatus(world, 1, withDependencies(body, first.id, first.id, "j-999999")))
        .isEqualTo(422);
    assertThat(submitStatus(world, 1, withDependencies(body, first.id, first.id)))
        .isEqualTo(201); // Finished long ago.
    assertThat(submitStatus(world, 2, withDependencies(body, "j-999999")))
        .isEqualTo(200); // A retry of an accepted submission, whatever its dependencies.
    world.store.outage(true);
    world.loop.run(5);
    ObjectNode other = world.users.body(job(world, 2, 1, 2));
    assertThat(submitStatus(world, 0, withDependencies(other, first.id))).isEqualTo(503);
    world.store.outage(false);
    world.loop.run(15);
    assertThat(world.users.stage(0, "j-000701")).isEqualTo("done");
    assertThat(world.users.stage(0, "j-000702")).isEmpty();
  }

  private static ObjectNode withDependencies(ObjectNode body, String... ids) {
    ObjectNode number = body.deepCopy();
    number.remove("awaits");
    Arrays.asList(ids).forEach(id -> number.withArray("awaits").add(id));
    return number;
  }

  @Test
  void manyFinishedDependenciesAreAcceptedAndTooManyLiveOnesAreRejected() {
    SimWorld world = new SimWorld(410, WorldShape.of(3), new Settings.StoreLimits(200, 2, 4));
    world.loop.run(3);
    List<SimJob> finished = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      finished.add(job(world, i, 1, 1));
      world.users.submit(i % 3, finished.get(i));
    }
    world.loop.run(40);
    everywhere(world, finished, "done");
    SimJob job = job(world, 90, 1, 2, finished.toArray(new SimJob[0]));
    accept(world, 0, job); // Finished dependencies are not stored.
    world.loop.run(20);
    everywhere(world, List.of(job), "done");
    ObjectNode body = world.users.body(job(world, 91, 1, 2));
    world.users.answer(0, "POST", "/admin/claims/pause", null);
    for (int i = 0; i < 180; i++) {
      SimJob dependency = world.users.job(String.format("j-%06d", 8000 + i), 1, 1, 2, true);
      world.users.submit(i % 3, dependency);
      body.withArray("awaits").add(dependency.id);
    }
    world.loop.run(5);
    assertThat(submitStatus(world, 1, body)).isEqualTo(400);
    fine(world);
  }
}

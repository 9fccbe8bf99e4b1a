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

/** Submissions that name other jobs. */
class DependencySubmissionTest {
  private static SimJob job(SimWorld w, int n, int tasks, double runS, SimJob... dependencies) {
    SimJob j = w.users.job(String.format("j-0007%02d", n), tasks, 1, runS, true);
    j.dependencies = List.of(dependencies);
    return j;
  }

  private static int submitStatus(SimWorld w, int controller, JsonNode body) {
    return w.users.answer(controller, "POST", "/v1/jobs", Json.write(body)).path("http").asInt();
  }

  @Test
  void dependenciesAreCheckedAgainstTheStoreOnEveryController() {
    SimWorld w = world(409, 3);
    SimJob first = job(w, 0, 1, 2);
    SimJob service = w.users.job("j-000790", 1, 1, 0, false);
    accept(w, 0, first);
    accept(w, 0, service);
    ObjectNode body = w.users.body(job(w, 1, 1, 2, first));
    for (int i = 0; i < 3; i++) {
      assertThat(submitStatus(w, i, withDependencies(body, "j-999999"))).isEqualTo(422);
      assertThat(submitStatus(w, i, withDependencies(body, first.id, "j-999999"))).isEqualTo(422);
      assertThat(submitStatus(w, i, withDependencies(body, service.id))).isEqualTo(422);
      assertThat(submitStatus(w, i, withDependencies(body, "j-000701"))).isEqualTo(400); // Itself.
      assertThat(submitStatus(w, i, withDependencies(body, "000700"))).isEqualTo(400);
      assertThat(submitStatus(w, i, body.deepCopy().put("awaits", first.id))).isEqualTo(400);
    }
    w.loop.run(20);
    assertThat(submitStatus(w, 1, withDependencies(body, first.id, first.id, "j-999999")))
        .isEqualTo(422);
    assertThat(submitStatus(w, 1, withDependencies(body, first.id, first.id)))
        .isEqualTo(201); // Long over.
    assertThat(submitStatus(w, 2, withDependencies(body, "j-999999")))
        .isEqualTo(200); // A retry, whatever it names.
    w.store.outage(true);
    w.loop.run(5);
    ObjectNode other = w.users.body(job(w, 2, 1, 2));
    assertThat(submitStatus(w, 0, withDependencies(other, first.id))).isEqualTo(503);
    w.store.outage(false);
    w.loop.run(15);
    assertThat(w.users.stage(0, "j-000701")).isEqualTo("done");
    assertThat(w.users.stage(0, "j-000702")).isEmpty();
  }

  private static ObjectNode withDependencies(ObjectNode body, String... ids) {
    ObjectNode n = body.deepCopy();
    n.remove("awaits");
    Arrays.asList(ids).forEach(id -> n.withArray("awaits").add(id));
    return n;
  }

  @Test
  void manyFinishedDependenciesAreAcceptedAndTooManyLiveOnesAreRejected() {
    SimWorld w = new SimWorld(410, WorldShape.of(3), new Settings.StateLimits(200, 2, 4));
    w.loop.run(3);
    List<SimJob> finished = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      finished.add(job(w, i, 1, 1));
      w.users.submit(i % 3, finished.get(i));
    }
    w.loop.run(40);
    everywhere(w, finished, "done");
    SimJob j = job(w, 90, 1, 2, finished.toArray(new SimJob[0]));
    accept(w, 0, j); // What is done need not be kept.
    w.loop.run(20);
    everywhere(w, List.of(j), "done");
    ObjectNode body = w.users.body(job(w, 91, 1, 2));
    w.users.answer(0, "POST", "/admin/claims/pause", null);
    for (int i = 0; i < 180; i++) {
      SimJob dependency = w.users.job(String.format("j-%06d", 8000 + i), 1, 1, 2, true);
      w.users.submit(i % 3, dependency);
      body.withArray("awaits").add(dependency.id);
    }
    w.loop.run(5);
    assertThat(submitStatus(w, 1, body)).isEqualTo(400);
    fine(w);
  }
}

package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.Json;
import java.util.function.BiConsumer;

/**
 * Users and operators of a simulated world: they submit, cancel and poll at any controller, and the
 * invariants are checked with every answer.
 */
public final class SimUsers {
  private final SimWorld world;
  private final Transport transport;

  SimUsers(SimWorld world, Transport transport) {
    this.world = world;
    this.transport = transport;
  }

  /** Makes a job known that a user may submit; zero seconds of run time mean a service. */
  public SimJob job(String id, int tasks, double cpus, double runS, boolean spot) {
    return job(id, tasks, cpus, runS, spot, false);
  }

  /** Makes a job known whose tasks have to be spread over zones if {@code spread}. */
  public SimJob job(String id, int tasks, double cpus, double runS, boolean spot, boolean spread) {
    SimJob job = new SimJob(id, tasks, cpus, runS, spot, spread);
    world.invariants.jobs.put(id, job);
    return job;
  }

  /** Returns the body of the submission of a job. */
  public ObjectNode body(SimJob job) {
    ObjectNode body = Json.object().put("ref", job.id).put("lot", job.runS == 0 ? "web" : "batch");
    body.put("crew", job.chargedTeam()).put("cut", job.runS == 0 ? "standing" : "array");
    body.put("urgency", job.runS == 0 ? "prod" : job.guest ? "low" : "normal")
        .put("boards", job.tasks);
    body.put("cpus", job.cpus).put("cards", 0.0).put("mem_gb", 1.0).put("blade", "i");
    body.put("yard", job.zone)
        .put("pull_gb", 1.0)
        .put("one_zone", false)
        .put("apart", job.spread)
        .put("borrowed", job.spot)
        .put("ship_s", job.deadlineS);
    if (!job.dependencies.isEmpty()) {
      job.dependencies.forEach(need -> body.withArray("awaits").add(need.id));
    }
    body.put("expected_s", job.runS).put("stack_s", 0.0).put("stack_write_s", 0.0);
    return body;
  }

  /** Submits until it is accepted. */
  public void submit(int controller, SimJob job) {
    submit(controller, job, 0);
  }

  private void submit(int controller, SimJob job, int tries) {
    String lastAnswer = job.lastAnswer();
    ask(
        controller,
        "POST",
        "/v1/jobs",
        Json.write(body(job)),
        (reply, answer) -> {
          world.invariants.told(
              job, reply.status(), answer.path("stage").asText(), true, lastAnswer);
          if (reply.status() != 200 && reply.status() != 201 && tries < 60) {
            world.loop.after(1, () -> submit((controller + 1) % world.size, job, tries + 1));
          }
        });
  }

  /** Cancels until it is confirmed. */
  public void cancel(int controller, SimJob job) {
    String lastAnswer = job.lastAnswer();
    job.cancelAsked = true;
    ask(
        controller,
        "POST",
        "/v1/jobs/" + job.id + "/withdraw",
        null,
        (reply, answer) -> {
          world.invariants.told(
              job, reply.status(), answer.path("stage").asText(), false, lastAnswer);
          if (reply.status() != 200) {
            world.loop.after(1, () -> cancel((controller + 1) % world.size, job));
          }
        });
  }

  /** Asks for the state of a job, once. */
  public void poll(int controller, SimJob job) {
    String lastAnswer = job.lastAnswer();
    ask(
        controller,
        "GET",
        "/v1/jobs/" + job.id,
        null,
        (reply, answer) ->
            world.invariants.told(
                job, reply.status(), answer.path("stage").asText(), false, lastAnswer));
  }

  /** Submits once more, as a user may at any time who has had no answer. */
  public void resubmit(int controller, SimJob job) {
    String lastAnswer = job.lastAnswer();
    ask(
        controller,
        "POST",
        "/v1/jobs",
        Json.write(body(job)),
        (reply, answer) ->
            world.invariants.told(
                job, reply.status(), answer.path("stage").asText(), true, lastAnswer));
  }

  /**
   * From now on users ask at all controllers, again and again, whatever they were told a moment
   * ago.
   */
  public void lookClosely() {
    world.invariants.onTold =
        job -> {
          for (int i = 0; i < 4 * world.size; i++) {
            int controller = i % world.size;
            world.loop.after(0.001 * (i / world.size), () -> poll(controller, job));
            world.loop.after(0.001 * (i / world.size), () -> resubmit(controller, job));
          }
        };
  }

  /** Sends a request as a user and hears of its answer, as JSON. */
  public void ask(
      int controller, String method, String path, byte[] body, BiConsumer<Reply, JsonNode> then) {
    transport.call(
        SimWorld.apiAddress(controller),
        method,
        path,
        body,
        5,
        reply ->
            then.accept(reply, reply.body().length == 0 ? Json.object() : Json.read(reply.body())));
  }

  /** Asks and returns the answer, running the world meanwhile. */
  public JsonNode answer(int controller, String method, String path, byte[] body) {
    JsonNode[] received = {null};
    ask(
        controller,
        method,
        path,
        body,
        (reply, answer) ->
            received[0] =
                (answer.isObject() ? (ObjectNode) answer : Json.object())
                    .put("http", reply.status()));
    for (int i = 0; i < 600 && received[0] == null; i++) {
      world.loop.run(0.01);
    }
    return received[0];
  }

  /** Returns the stage of a job as a controller answers it. */
  public String stage(int controller, String id) {
    return answer(controller, "GET", "/v1/jobs/" + id, null).path("stage").asText();
  }
}

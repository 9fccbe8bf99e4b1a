package graderelay.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.wire.Json;
import java.util.List;

/** A machine's worker, written from the published protocol. */
public final class SimWorker {
  public final String name;
  public final String type;
  public final String zone;
  public final boolean spot;
  private final SimLoop loop;
  private final SimWorld world;
  private final Transport transport;
  private final double heartbeatS;
  private final double leaseS;
  private final String[] controllers;
  private final SimTasks tasks;
  private final boolean[] dead = {false};
  private long session = 1;
  private long seq;
  private long token;
  private double leaseFrom;
  private int controller;
  private boolean awaitsAnswer;
  private double lastSent = Double.NEGATIVE_INFINITY;
  public boolean failsEverything;

  /** Why it refuses every launch, or null. */
  public String refusal;

  /** Until then it executes nothing and takes nothing in; its lease goes on running out. */
  double hungUntil = Double.NEGATIVE_INFINITY;

  SimWorker(
      SimWorld world,
      String name,
      String type,
      String zone,
      boolean spot,
      double heartbeatS,
      double leaseS,
      String[] controllers) {
    this.world = world;
    this.loop = world.loop;
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.heartbeatS = heartbeatS;
    this.leaseS = leaseS;
    this.controllers = controllers;
    this.transport = world.net.from(name, dead);
    this.leaseFrom = loop.now();
    this.tasks = new SimTasks(this, world);
    world.net.listen(address(), name, this::handle);
    controller = world.random.nextInt(controllers.length);
    beat();
    lease();
  }

  /** Returns the address at which the worker takes direct commands. */
  public String address() {
    return name + ":9000";
  }

  /** The machine is gone with everything on it. */
  public void kill() {
    dead[0] = true;
    tasks.dropAll();
    world.net.close(address());
  }

  public boolean isDead() {
    return dead[0];
  }

  /** It hangs for a while, and then goes on with all that has come meanwhile. */
  public void hang(double seconds) {
    hungUntil = loop.now() + seconds;
  }

  /** True while it executes nothing and takes nothing in. */
  boolean hung() {
    return loop.now() < hungUntil;
  }

  private void beat() {
    if (dead[0]) {
      return;
    }
    sendHeartbeat();
    loop.after(heartbeatS * (0.75 + world.random.nextDouble() / 2), this::beat);
  }

  private void lease() {
    if (dead[0]) {
      return;
    }
    if (loop.now() > leaseFrom + leaseS) {
      tasks.dropAll();
      session++;
      leaseFrom = loop.now();
      world.invariants.log("lease over on " + name);
    }
    loop.after(0.1, this::lease);
  }

  /** Sends the next heartbeat soon, half a second after the last one at the earliest. */
  void changed() {
    double wait = Math.max(0, lastSent + 0.5 - loop.now());
    loop.after(wait, this::sendHeartbeat);
  }

  private ObjectNode body() {
    ObjectNode n = Json.object();
    n.put("saw", name).put("address", address()).put("rig", type).put("yard", zone);
    n.put("borrowed", spot).put("shift", session).put("tally", ++seq).put("foreman", token);
    tasks.show(n.putArray("boards"));
    return n;
  }

  private void sendHeartbeat() {
    if (dead[0] || awaitsAnswer || hung() || loop.now() < lastSent + 0.49) {
      return;
    }
    awaitsAnswer = true;
    double sentAt = loop.now();
    lastSent = sentAt;
    long of = session;
    String to = controllers[controller];
    byte[] heartbeat = Json.write(body());
    world.onHeartbeat.onSent(heartbeat.length, tasks.exitedCount(), token);
    transport.call(
        to,
        "POST",
        "/checkin",
        heartbeat,
        4,
        r -> {
          awaitsAnswer = false;
          answered(r, of, sentAt);
        });
  }

  private void answered(Reply r, long of, double sentAt) {
    if (hung()) {
      // Taken in when it goes on, unless it has given the answer up by then.
      boolean late = hungUntil > sentAt + 4;
      loop.at(hungUntil, () -> answered(late ? Reply.noResponse() : r, of, sentAt));
      return;
    }
    JsonNode n = r.status() == 0 ? Json.object() : Json.read(r.body());
    if (r.status() == 200) {
      long t = n.path("foreman").asLong(0);
      if (of != session || t < token || t == 0) {
        return;
      }
      see(t);
      leaseFrom = Math.max(leaseFrom, sentAt);
      execute(n.path("orders"), 0);
      return;
    }
    int next = (controller + 1) % controllers.length;
    double wait = 1;
    if (r.status() == 421 && n.has("foreman_at")) {
      int at = world.nodeIndex(n.get("foreman_at").asText());
      if (at >= 0 && at != controller) {
        next = at;
        wait = 0.1;
      }
    }
    controller = next;
    loop.after(wait, this::sendHeartbeat);
  }

  private void see(long t) {
    if (t > token) {
      token = t;
      changed();
    }
  }

  private void handle(Exchange e) {
    if (hung()) {
      loop.at(hungUntil, () -> handle(e));
      return;
    }
    if (dead[0]) {
      return;
    }
    if (e.path().equals("/status")) {
      e.responder().accept(Response.json(200, Json.write(body())));
      return;
    }
    JsonNode n = Json.read(e.body());
    if (!n.has("foreman") || !n.has("shift")) {
      e.responder().accept(Response.json(400, Json.write(Json.object())));
      return;
    }
    if (n.get("foreman").asLong() < token || n.get("shift").asLong() != session) {
      e.responder().accept(Response.json(409, Json.write(body())));
      return;
    }
    see(n.get("foreman").asLong());
    execute(n.path("orders"), token);
    e.responder().accept(Response.json(200, Json.write(body())));
  }

  private void execute(JsonNode orders, long directTerm) {
    for (JsonNode o : orders) {
      String id = o.path("board").asText();
      int attempt = o.path("pass").asInt();
      switch (o.path("order").asText()) {
        case "launch" -> tasks.launch(id, attempt, directTerm);
        case "kill" -> tasks.stop(id, attempt);
        default -> tasks.forget(id, attempt, token);
      }
    }
  }

  /** True if it lists the attempt, in any state. */
  public boolean lists(String task, int attempt) {
    return tasks.lists(task, attempt);
  }

  /** Returns the tasks that run now, in the order of their launch. */
  public List<String> running() {
    return tasks.running();
  }
}

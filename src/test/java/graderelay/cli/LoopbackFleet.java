package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.HttpClient;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.wire.Json;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A cloud and its workers on loopback, written from the published protocol: machines are up at
 * once, and each task runs for a moment. It records what ran where; everything is on one event
 * loop.
 */
final class LoopbackFleet implements Exchange.Handler {
  private static final double HEARTBEAT_S = 1;
  private static final double LEASE_S = 12;
  private static final double RUN_S = 0.7;
  private static final int CONNECTIONS = 50;
  private final int machines;

  private final EventLoop loop;
  private final NettyLoop clock;
  private final HttpClient client;
  private final List<String> controllers;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, ArrayNode> scaleOuts = new LinkedHashMap<>();
  private final Map<String, String> runningOn = new LinkedHashMap<>();
  private final Set<String> done = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private int mostRunning;

  /** The addresses are read when a worker sends a heartbeat, so they may change. */
  LoopbackFleet(EventLoop loop, NettyLoop clock, List<String> controllers, int machines) {
    this.machines = machines;
    this.loop = loop;
    this.clock = clock;
    this.client = new HttpClient(loop, CONNECTIONS);
    this.controllers = controllers;
  }

  /** Tasks that ran on two machines at a time, or once more after they were done. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Tasks that have completed. */
  synchronized Set<String> done() {
    return Set.copyOf(done);
  }

  /** The most tasks that have run at once. */
  synchronized int mostRunning() {
    return mostRunning;
  }

  private synchronized void started(String task, String worker) {
    String other = runningOn.put(task, worker);
    mostRunning = Math.max(mostRunning, runningOn.size());
    if (other != null) {
      violations.add(task + " runs on " + other + " and " + worker);
    }
    if (done.contains(task)) {
      violations.add(task + " runs again after it was done");
    }
  }

  private synchronized void ended(String task, boolean complete) {
    runningOn.remove(task);
    if (complete) {
      done.add(task);
    }
  }

  // ---------------------------------------------------------------- the cloud

  @Override
  public void handle(Exchange e) {
    JsonNode answer =
        switch (e.path()) {
          case "/machine_types" -> Json.read(types());
          case "/machines/delete" -> delete(Json.read(e.body()));
          default -> e.method().equals("GET") ? list() : scaleOut(Json.read(e.body()));
        };
    if (answer == null) {
      e.to().accept(Answer.json(503, Json.errorBody("no capacity")));
    } else {
      e.to().accept(Answer.json(200, Json.write(answer)));
    }
  }

  private static byte[] types() {
    return ("{\"rigs\":[{\"sku\":\"small\",\"cpus\":4,\"cards\":0,\"mem_gb\":16,\"cache_gb\":9,"
            + "\"pull_gb_per_s\":100,\"price\":1,\"market_price\":1,\"ready_s\":1,"
            + "\"yards\":[\"a\"]}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private JsonNode list() {
    ObjectNode n = Json.object().put("truncated", false);
    ArrayNode all = n.putArray("saws");
    workers.values().forEach(w -> all.add(w.listed()));
    return n;
  }

  private JsonNode delete(JsonNode names) {
    for (JsonNode name : names.path("saws")) {
      Worker w = workers.remove(name.asText());
      if (w != null) {
        w.close();
      }
    }
    return Json.object();
  }

  private JsonNode scaleOut(JsonNode request) {
    ArrayNode names =
        scaleOuts.computeIfAbsent(
            request.path("hire").asText(),
            scaleOut -> {
              ArrayNode started = Json.array();
              int wanted = request.path("how_many").asInt();
              for (int i = 0; i < wanted && workers.size() < machines; i++) {
                Worker w = new Worker(request.path("borrowed").asBoolean());
                workers.put(w.name, w);
                started.add(w.name);
              }
              return started;
            });
    if (names.isEmpty()) {
      scaleOuts.remove(request.path("hire").asText());
      return null;
    }
    ObjectNode n = Json.object();
    n.set("saws", names);
    return n;
  }

  // ---------------------------------------------------------------- the workers

  private int nextWorker = 1;

  private static final class Task {
    final int attempt;
    String stage = "running";
    String cause;

    Task(int attempt) {
      this.attempt = attempt;
    }
  }

  /** One machine and its worker. */
  private final class Worker {
    final String name = String.format("n-%06d", nextWorker++);
    private final boolean spot;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private String address = "";
    private long tally;
    private long token;
    private long shift = 1;
    private double leaseFrom = clock.now();
    private int controller;
    private boolean closed;

    Worker(boolean spot) {
      this.spot = spot;
      server = new HttpServer(loop, clock, CONNECTIONS, this::command);
      server
          .listen("127.0.0.1:0")
          .addListener(
              (io.netty.channel.ChannelFuture f) -> {
                InetSocketAddress at = (InetSocketAddress) f.channel().localAddress();
                address = "127.0.0.1:" + at.getPort();
                sendHeartbeat();
              });
    }

    void close() {
      closed = true;
      server.close();
      forget();
    }

    private void forget() {
      tasks.forEach(
          (id, t) -> {
            if (t.cause == null) {
              ended(id, false);
            }
          });
      tasks.clear();
    }

    ObjectNode listed() {
      ObjectNode n = Json.object().put("ref", name).put("address", address).put("rig", "small");
      n.put("yard", "a").put("borrowed", spot).put("stage", "running");
      return n.put("age_s", 5);
    }

    private ObjectNode state() {
      ObjectNode n = Json.object().put("saw", name).put("address", address).put("rig", "small");
      n.put("yard", "a").put("borrowed", spot).put("shift", shift).put("tally", ++tally);
      n.put("foreman", token);
      ArrayNode boards = n.putArray("boards");
      tasks.forEach(
          (id, t) -> {
            ObjectNode b = boards.addObject().put("board", id).put("pass", t.attempt);
            b.put("stage", t.stage);
            if (t.cause != null) {
              b.put("cause", t.cause);
            }
          });
      return n;
    }

    private void sendHeartbeat() {
      if (closed) {
        return;
      }
      if (clock.now() > leaseFrom + LEASE_S) {
        forget();
        shift++;
        leaseFrom = clock.now();
      }
      double sentAt = clock.now();
      long of = shift;
      String to = controllers.get(controller);
      client.call(
          to,
          "POST",
          "/checkin",
          Json.write(state()),
          4,
          r -> {
            JsonNode n = r.body().length == 0 ? Json.object() : Json.read(r.body());
            if (r.status() == 200) {
              taken(n, of, sentAt);
              clock.after(HEARTBEAT_S, this::sendHeartbeat);
            } else {
              int at = r.status() == 421 ? index(n.path("foreman_at").asText()) : -1;
              boolean pointed = at >= 0 && at != controller;
              controller = pointed ? at : (controller + 1) % controllers.size();
              clock.after(pointed ? 0.1 : 1, this::sendHeartbeat);
            }
          });
    }

    private static int index(String member) {
      return member.matches("m-[0-9]+") ? Integer.parseInt(member.substring(2)) : -1;
    }

    private void taken(JsonNode n, long of, double sentAt) {
      long t = n.path("foreman").asLong();
      if (of == shift && t >= token) {
        token = t;
        leaseFrom = Math.max(leaseFrom, sentAt);
        n.path("orders").forEach(this::execute);
      }
    }

    private void command(Exchange e) {
      JsonNode n = e.path().equals("/commands") ? Json.read(e.body()) : Json.object();
      boolean good = n.path("foreman").asLong() >= token && n.path("shift").asLong() == shift;
      if (e.path().equals("/commands") && good) {
        token = n.path("foreman").asLong();
        n.path("orders").forEach(this::execute);
      }
      int status = good || !e.path().equals("/commands") ? 200 : 409;
      e.to().accept(Answer.json(status, Json.write(state())));
    }

    private void execute(JsonNode command) {
      String id = command.path("board").asText();
      int attempt = command.path("pass").asInt();
      Task t = tasks.get(id);
      switch (command.path("order").asText()) {
        case "launch" -> {
          if (t == null) {
            launch(id, attempt);
          }
        }
        case "kill" -> {
          if (t != null && t.attempt == attempt) {
            exit(id, t, "stopped");
          }
        }
        default -> {
          if (t != null && t.attempt == attempt && t.cause != null) {
            tasks.remove(id);
          }
        }
      }
    }

    private void launch(String id, int attempt) {
      Task t = new Task(attempt);
      tasks.put(id, t);
      started(id, name);
      clock.after(
          RUN_S,
          () -> {
            if (tasks.get(id) == t) {
              exit(id, t, "done");
            }
          });
    }

    private void exit(String id, Task t, String cause) {
      if (t.cause == null) {
        t.stage = "exited";
        t.cause = cause;
        ended(id, cause.equals("done"));
      }
    }
  }
}

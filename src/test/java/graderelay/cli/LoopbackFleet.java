package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
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
 * A simulated cloud and its workers on loopback, implemented from the published protocol. Machines
 * are ready at once, and each task runs for a short time. Records which task ran on which machine.
 * Runs on a single event loop.
 */
final class LoopbackFleet implements Exchange.Handler {
  private static final double HEARTBEAT_S = 1;
  private static final double LEASE_S = 12;
  private static final double TASK_RUN_TIME_S = 0.7;
  private static final int MAX_CONNECTIONS = 50;
  private final int machineCapacity;

  private final EventLoop loop;
  private final NettyLoop clock;
  private final HttpClient client;
  private final List<String> controllerAddresses;
  private final Map<String, Worker> workers = new LinkedHashMap<>();
  private final Map<String, ArrayNode> machinesByScaleOut = new LinkedHashMap<>();
  private final Map<String, String> machineByRunningTask = new LinkedHashMap<>();
  private final Set<String> completedTasks = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private int maxRunning;

  /**
   * Creates a fleet. The addresses of the controllers may change: they are read before each
   * heartbeat.
   */
  LoopbackFleet(
      EventLoop loop, NettyLoop clock, List<String> controllerAddresses, int machineCapacity) {
    this.machineCapacity = machineCapacity;
    this.loop = loop;
    this.clock = clock;
    this.client = new HttpClient(loop, MAX_CONNECTIONS);
    this.controllerAddresses = controllerAddresses;
  }

  /** Tasks that ran on two machines at the same time, or again after their completion. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }

  /** Tasks that have been completed. */
  synchronized Set<String> completedTasks() {
    return Set.copyOf(completedTasks);
  }

  /** Maximum number of tasks that ran at the same time. */
  synchronized int maxRunning() {
    return maxRunning;
  }

  private synchronized void onTaskStarted(String task, String worker) {
    String other = machineByRunningTask.put(task, worker);
    maxRunning = Math.max(maxRunning, machineByRunningTask.size());
    if (other != null) {
      violations.add(task + " runs on " + other + " and " + worker);
    }
    if (completedTasks.contains(task)) {
      violations.add(task + " runs again after it was done");
    }
  }

  private synchronized void onTaskEnded(String task, boolean complete) {
    machineByRunningTask.remove(task);
    if (complete) {
      completedTasks.add(task);
    }
  }

  // ---------------------------------------------------------------- the cloud

  @Override
  public void handle(Exchange exchange) {
    JsonNode response =
        switch (exchange.path()) {
          case "/machine_types" -> Json.read(machineTypes());
          case "/machines/delete" -> deleteMachines(Json.read(exchange.body()));
          default ->
              exchange.method().equals("GET")
                  ? listMachines()
                  : scaleOut(Json.read(exchange.body()));
        };
    if (response == null) {
      exchange.responder().accept(Response.json(503, Json.errorBody("no capacity")));
    } else {
      exchange.responder().accept(Response.json(200, Json.write(response)));
    }
  }

  private static byte[] machineTypes() {
    return ("{\"rigs\":[{\"sku\":\"small\",\"cpus\":4,\"cards\":0,\"mem_gb\":16,\"cache_gb\":9,"
            + "\"pull_gb_per_s\":100,\"price\":1,\"market_price\":1,\"ready_s\":1,"
            + "\"yards\":[\"a\"]}]}")
        .getBytes(StandardCharsets.UTF_8);
  }

  private JsonNode listMachines() {
    ObjectNode response = Json.object().put("truncated", false);
    ArrayNode entries = response.putArray("saws");
    workers.values().forEach(worker -> entries.add(worker.listEntry()));
    return response;
  }

  private JsonNode deleteMachines(JsonNode names) {
    for (JsonNode name : names.path("saws")) {
      Worker worker = workers.remove(name.asText());
      if (worker != null) {
        worker.close();
      }
    }
    return Json.object();
  }

  private JsonNode scaleOut(JsonNode request) {
    ArrayNode names =
        machinesByScaleOut.computeIfAbsent(
            request.path("hire").asText(),
            scaleOut -> {
              ArrayNode started = Json.array();
              int wanted = request.path("how_many").asInt();
              for (int i = 0; i < wanted && workers.size() < machineCapacity; i++) {
                Worker worker = new Worker(request.path("borrowed").asBoolean());
                workers.put(worker.name, worker);
                started.add(worker.name);
              }
              return started;
            });
    if (names.isEmpty()) {
      machinesByScaleOut.remove(request.path("hire").asText());
      return null;
    }
    ObjectNode response = Json.object();
    response.set("saws", names);
    return response;
  }

  // ---------------------------------------------------------------- the workers

  private int nextWorkerNumber = 1;

  private static final class Task {
    final int attempt;
    String state = "running";
    String endReason;

    Task(int attempt) {
      this.attempt = attempt;
    }
  }

  /** One machine and its worker. */
  private final class Worker {
    final String name = String.format("n-%06d", nextWorkerNumber++);
    private final boolean spot;
    private final HttpServer server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private String address = "";
    private long heartbeatCount;
    private long fencingToken;
    private long sessionNumber = 1;
    private double leaseStartS = clock.now();
    private int controller;
    private boolean closed;

    Worker(boolean spot) {
      this.spot = spot;
      server = new HttpServer(loop, clock, MAX_CONNECTIONS, this::handleCommands);
      server
          .listen("127.0.0.1:0")
          .addListener(
              (io.netty.channel.ChannelFuture future) -> {
                InetSocketAddress socketAddress =
                    (InetSocketAddress) future.channel().localAddress();
                address = "127.0.0.1:" + socketAddress.getPort();
                sendHeartbeat();
              });
    }

    void close() {
      closed = true;
      server.close();
      dropTasks();
    }

    private void dropTasks() {
      tasks.forEach(
          (taskId, task) -> {
            if (task.endReason == null) {
              onTaskEnded(taskId, false);
            }
          });
      tasks.clear();
    }

    ObjectNode listEntry() {
      ObjectNode entry = Json.object().put("ref", name).put("address", address).put("rig", "small");
      entry.put("yard", "a").put("borrowed", spot).put("stage", "running");
      return entry.put("age_s", 5);
    }

    private ObjectNode heartbeatBody() {
      ObjectNode body = Json.object().put("saw", name).put("address", address).put("rig", "small");
      body.put("yard", "a")
          .put("borrowed", spot)
          .put("shift", sessionNumber)
          .put("tally", ++heartbeatCount);
      body.put("foreman", fencingToken);
      ArrayNode taskEntries = body.putArray("boards");
      tasks.forEach(
          (taskId, task) -> {
            ObjectNode entry =
                taskEntries.addObject().put("board", taskId).put("pass", task.attempt);
            entry.put("stage", task.state);
            if (task.endReason != null) {
              entry.put("cause", task.endReason);
            }
          });
      return body;
    }

    private void sendHeartbeat() {
      if (closed) {
        return;
      }
      if (clock.now() > leaseStartS + LEASE_S) {
        dropTasks();
        sessionNumber++;
        leaseStartS = clock.now();
      }
      double sentAtS = clock.now();
      long sentInSession = sessionNumber;
      String controllerAddress = controllerAddresses.get(controller);
      client.call(
          controllerAddress,
          "POST",
          "/checkin",
          Json.write(heartbeatBody()),
          4,
          reply -> {
            JsonNode body = reply.body().length == 0 ? Json.object() : Json.read(reply.body());
            if (reply.status() == 200) {
              onHeartbeatAccepted(body, sentInSession, sentAtS);
              clock.schedule(HEARTBEAT_S, this::sendHeartbeat);
            } else {
              int leader =
                  reply.status() == 421 ? controllerIndex(body.path("foreman_at").asText()) : -1;
              boolean redirected = leader >= 0 && leader != controller;
              controller = redirected ? leader : (controller + 1) % controllerAddresses.size();
              clock.schedule(redirected ? 0.1 : 1, this::sendHeartbeat);
            }
          });
    }

    private static int controllerIndex(String member) {
      return member.matches("m-[0-9]+") ? Integer.parseInt(member.substring(2)) : -1;
    }

    private void onHeartbeatAccepted(JsonNode body, long sentInSession, double sentAtS) {
      long newToken = body.path("foreman").asLong();
      if (sentInSession == sessionNumber && newToken >= fencingToken) {
        fencingToken = newToken;
        leaseStartS = Math.max(leaseStartS, sentAtS);
        body.path("orders").forEach(this::execute);
      }
    }

    private void handleCommands(Exchange exchange) {
      JsonNode body =
          exchange.path().equals("/commands") ? Json.read(exchange.body()) : Json.object();
      boolean isCurrent =
          body.path("foreman").asLong() >= fencingToken
              && body.path("shift").asLong() == sessionNumber;
      if (exchange.path().equals("/commands") && isCurrent) {
        fencingToken = body.path("foreman").asLong();
        body.path("orders").forEach(this::execute);
      }
      int status = isCurrent || !exchange.path().equals("/commands") ? 200 : 409;
      exchange.responder().accept(Response.json(status, Json.write(heartbeatBody())));
    }

    private void execute(JsonNode command) {
      String taskId = command.path("board").asText();
      int attempt = command.path("pass").asInt();
      Task task = tasks.get(taskId);
      switch (command.path("order").asText()) {
        case "launch" -> {
          if (task == null) {
            launch(taskId, attempt);
          }
        }
        case "kill" -> {
          if (task != null && task.attempt == attempt) {
            exit(taskId, task, "stopped");
          }
        }
        default -> {
          if (task != null && task.attempt == attempt && task.endReason != null) {
            tasks.remove(taskId);
          }
        }
      }
    }

    private void launch(String taskId, int attempt) {
      Task task = new Task(attempt);
      tasks.put(taskId, task);
      onTaskStarted(taskId, name);
      clock.schedule(
          TASK_RUN_TIME_S,
          () -> {
            if (tasks.get(taskId) == task) {
              exit(taskId, task, "done");
            }
          });
    }

    private void exit(String taskId, Task task, String reason) {
      if (task.endReason == null) {
        task.state = "exited";
        task.endReason = reason;
        onTaskEnded(taskId, reason.equals("done"));
      }
    }
  }
}

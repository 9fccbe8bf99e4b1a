package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;

/** A stand-in of a worker, from its published protocol. */
final class Worker {
  private static final class Task {
    final int pass;
    String stage = "pulling";
    String cause;
    boolean saved;
    double runsUntil = Double.POSITIVE_INFINITY;
    double saveEndsAt = Double.POSITIVE_INFINITY;

    Task(int pass) {
      this.pass = pass;
    }
  }

  private final Record record;
  private final Bench bench;
  final String name;
  final String zone;
  final boolean spot;
  String address = "127.0.0.1:1";
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Random random;
  private HttpServer server;
  private long shift = 1;
  private long tally;
  private long foreman;
  private double leaseFrom;
  private boolean changed;
  private boolean ended;
  private int controller;
  /** The machine is faulty: it fails every task that it starts. */
  private volatile boolean sick;
  /** Answers to reports and direct commands are lost from now on. */
  volatile boolean deaf;

  Worker(Record record, Bench bench, String name, String zone, boolean spot) throws IOException {
    this.record = record;
    this.bench = bench;
    this.name = name;
    this.zone = zone;
    this.spot = spot;
    this.random = new Random(name.hashCode());
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 50);
    server.setExecutor(Executors.newCachedThreadPool(Bench.daemons()));
    server.createContext("/commands", this::onCommands);
    server.createContext("/status", exchange -> Json.answer(exchange, 200, locked()));
    address = "127.0.0.1:" + server.getAddress().getPort();
  }

  void start(double bootS) {
    Thread thread =
        new Thread(
            () -> {
              Bench.sleep(bootS);
              synchronized (this) {
                if (ended) {
                  return;
                }
                server.start();
                leaseFrom = record.now();
                controller = random.nextInt(bench.size);
              }
              new Thread(this::runTasks).start();
              reportLoop();
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Whether it fails every task that it starts. */
  void setSick(boolean isSick) {
    sick = isSick;
    record.line("machine " + name + (isSick ? " fails every task from now on" : " is well"));
  }

  /** CPUs that its tasks take. */
  synchronized double load() {
    double used = 0;
    for (var entry : tasks.entrySet()) {
      used += entry.getValue().cause == null ? bench.jobOf(entry.getKey()).cpus : 0;
    }
    return used;
  }

  synchronized void end(String why) {
    if (!ended) {
      ended = true;
      forgetAll(why);
      server.stop(0);
    }
  }

  private void forgetAll(String why) {
    tasks.forEach((id, task) -> leave(id, task, why));
    tasks.clear();
  }

  /** The task is no longer on this machine. */
  private void leave(String id, Task task, String why) {
    if (task.stage.equals("running") || task.stage.equals("saving")) {
      bench.checker.onLeft(id, task.pass, name, why);
    }
  }

  private synchronized ObjectNode locked() {
    return report();
  }

  private ObjectNode report() {
    ObjectNode body = Json.object().put("saw", name).put("address", address);
    body.put("rig", Bench.RIG).put("yard", zone).put("borrowed", spot);
    body.put("shift", shift).put("tally", ++tally).put("foreman", foreman).putNull("recall_s");
    ArrayNode list = body.putArray("boards");
    tasks.forEach(
        (id, task) -> {
          ObjectNode item = list.addObject().put("board", id).put("pass", task.pass);
          item.put("stage", task.stage);
          if (task.cause != null) {
            item.put("cause", task.cause).put("saved", task.saved);
          }
        });
    return body;
  }

  private void reportLoop() {
    double lastSentAt = -1;
    double nextAt = 0;
    while (true) {
      byte[] body;
      double sentAt;
      long sentShift;
      String target;
      synchronized (this) {
        if (ended) {
          return;
        }
        double now = record.now();
        boolean due = now >= nextAt || (changed && now >= lastSentAt + 0.5);
        if (!due) {
          body = null;
        } else {
          body = Json.write(report());
          changed = false;
        }
        sentAt = now;
        sentShift = shift;
        target = bench.apiAddress(controller);
      }
      if (body == null) {
        Bench.sleep(0.02);
        continue;
      }
      lastSentAt = sentAt;
      nextAt = sentAt + bench.reportS * (0.75 + random.nextDouble() / 2);
      int status = 0;
      JsonNode answer = null;
      try {
        HttpResponse<byte[]> response =
            Bench.HTTP.send(
                HttpRequest.newBuilder(URI.create("http://" + target + "/checkin"))
                    .timeout(Duration.ofSeconds(4))
                    .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                    .build(),
                HttpResponse.BodyHandlers.ofByteArray());
        status = response.statusCode();
        answer = Json.read(response.body());
      } catch (IOException e) {
        status = 0;
      } catch (InterruptedException e) {
        return;
      }
      if (deaf && status != 0) {
        Bench.sleep(Math.max(0, sentAt + 4 - record.now()));
        status = 0;
      }
      if (status == 200) {
        onAnswer(answer, sentAt, sentShift);
        continue;
      }
      int named = status == 421 && answer != null ? bench.indexOf(answer.path("foreman_at").asText()) : -1;
      synchronized (this) {
        if (named >= 0 && named != controller) {
          controller = named;
          nextAt = record.now() + random.nextDouble() / 2;
        } else {
          controller = (controller + 1) % bench.size;
          nextAt = record.now() + 1;
        }
        changed = false;
      }
    }
  }

  private synchronized void onAnswer(JsonNode answer, double sentAt, long sentShift) {
    expireLease();
    if (ended || sentShift != shift || !answer.has("foreman")) {
      return;
    }
    long token = answer.path("foreman").asLong();
    if (token < foreman) {
      return;
    }
    changed |= token > foreman;
    foreman = token;
    leaseFrom = Math.max(leaseFrom, sentAt);
    answer.path("orders").forEach(this::execute);
  }

  private void expireLease() {
    if (!ended && record.now() > leaseFrom + bench.leaseS) {
      if (!tasks.isEmpty()) {
        record.line("worker " + name + ": its lease ends, " + tasks.size() + " tasks");
      }
      forgetAll("lease ended");
      shift++;
      changed = true;
      leaseFrom = record.now();
    }
  }

  private void onCommands(HttpExchange exchange) throws IOException {
    JsonNode body = Json.body(exchange);
    ObjectNode answer;
    int status;
    synchronized (this) {
      expireLease();
      if (!body.has("foreman") || !body.has("shift")) {
        status = 400;
        answer = Json.object();
      } else if (deaf) {
        status = 0;
        answer = null;
      } else if (body.path("foreman").asLong() < foreman || body.path("shift").asLong() != shift) {
        status = 409;
        answer = report();
      } else {
        changed |= body.path("foreman").asLong() > foreman;
        foreman = body.path("foreman").asLong();
        body.path("orders").forEach(this::execute);
        status = 200;
        answer = report();
      }
    }
    if (answer == null) {
      exchange.close();
    } else {
      Json.answer(exchange, status, answer);
    }
  }

  private void execute(JsonNode order) {
    String id = order.path("board").asText();
    int pass = order.path("pass").asInt();
    Task task = tasks.get(id);
    switch (order.path("order").asText()) {
      case "launch" -> launch(id, pass, task);
      case "kill" -> {
        if (task != null && task.pass == pass && task.cause == null) {
          Bench.Job job = bench.jobOf(id);
          boolean saves =
              task.stage.equals("running")
                  && job.stackS > 0
                  && order.path("wind_down_s").asDouble() >= job.stackWriteS;
          if (saves) {
            task.stage = "saving";
            task.saveEndsAt = record.now() + job.stackWriteS;
          } else if (!(task.stage.equals("saving") && order.path("wind_down_s").asDouble() > 0)) {
            exit(id, task, "stopped");
          }
          changed = true;
        }
      }
      default -> {
        if (task != null && task.pass == pass && task.cause != null) {
          tasks.remove(id);
          changed = true;
        }
      }
    }
  }

  private void launch(String id, int pass, Task present) {
    changed = true;
    if (present != null && present.pass == pass) {
      return;
    }
    Bench.Job job = bench.jobOf(id);
    String refusal = job == null ? "unknown" : present != null && present.cause == null ? "busy" : null;
    if (refusal == null) {
      refusal = load() + job.cpus > bench.rigCpus + 1e-6 ? "no_room" : null;
    }
    if (refusal != null) {
      record.line("worker " + name + ": refuses " + id + " pass " + pass + ", " + refusal);
      if (present == null || present.cause != null) {
        Task refused = new Task(pass);
        refused.stage = "exited";
        refused.cause = refusal;
        tasks.put(id, refused);
      }
      return;
    }
    Task task = new Task(pass);
    tasks.put(id, task);
    begin(id, task, job);
  }

  private void begin(String id, Task task, Bench.Job job) {
    task.stage = "running";
    bench.checker.onStarted(id, task.pass, name, zone);
    if (sick) {
      exit(id, task, "error");
      return;
    }
    if (!job.standing) {
      task.runsUntil = record.now() + (bench.checker.isDone(id) ? 0 : job.runS);
    }
  }

  private void exit(String id, Task task, String cause) {
    bench.checker.onExited(id, task.pass, name, cause, task.stage);
    task.stage = "exited";
    task.cause = cause;
    task.saved = false;
    changed = true;
  }

  private void runTasks() {
    while (true) {
      synchronized (this) {
        if (ended) {
          return;
        }
        expireLease();
        double now = record.now();
        for (var entry : new ArrayList<>(tasks.entrySet())) {
          Task task = entry.getValue();
          if (task.stage.equals("running") && now >= task.runsUntil) {
            exit(entry.getKey(), task, "done");
          } else if (task.stage.equals("saving") && now >= task.saveEndsAt) {
            exit(entry.getKey(), task, "stopped");
            task.saved = true;
          }
        }
      }
      Bench.sleep(0.02);
    }
  }
}

package review2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: controllers as processes, started with the command of the deploy
 * file, and stand-ins of the state service, the cloud, the workers and the users.
 */
final class Bench implements AutoCloseable {
  static final String RIG = "mid-node";
  private static final double MAX_RUN_S = 119;
  static final HttpClient HTTP =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(java.util.concurrent.Executors.newCachedThreadPool(daemons()))
          .build();

  /** A job that users have sent. */
  static final class Job {
    final String ref;
    final boolean standing;
    final int boards;
    final double cpus;
    final double runS;
    double stackS;
    double stackWriteS;
    boolean apart;
    boolean oneZone;
    boolean borrowed;
    String crew = "dunes-design";
    String urgency = "normal";
    Double shipS;
    List<String> awaits = List.of();

    Job(String ref, boolean standing, int boards, double cpus, double runS) {
      this.ref = ref;
      this.standing = standing;
      this.boards = boards;
      this.cpus = cpus;
      this.runS = runS;
    }

    ObjectNode body() {
      ObjectNode body = Json.object().put("ref", ref).put("lot", standing ? "preview-service" : "frame-batch");
      body.put("crew", crew).put("cut", standing ? "standing" : "array").put("urgency", urgency);
      body.put("boards", boards).put("cpus", cpus).put("cards", 0.0).put("mem_gb", 1.0);
      body.put("blade", "img-01").put("pull_gb", 0.1).putNull("rigs").putNull("yard");
      body.put("one_zone", oneZone).put("apart", apart).put("borrowed", borrowed);
      body.put("expected_s", standing ? 0.0 : runS).put("stack_s", stackS);
      body.put("stack_write_s", stackWriteS);
      if (shipS == null) {
        body.putNull("ship_s");
      } else {
        body.put("ship_s", shipS);
      }
      if (!awaits.isEmpty()) {
        awaits.forEach(body.putArray("awaits")::add);
      }
      return body;
    }
  }

  /** The answer to a user; status 0 means none. */
  record Answer(int status, JsonNode body) {
    String stage() {
      return status == 200 || status == 201 ? body.path("stage").asText() : "";
    }
  }

  final int size;
  final List<String> zones;
  final double rigCpus = 16;
  double reportS = 2;
  double leaseS = 12;
  double cancelS = 42;
  double rps = 250;
  double writeRps = 30;
  int txnOps = 12;
  double valueKb = 16;
  double cpusGuaranteed = 216;
  double cpusMax = 304;
  String extraSettings = "";
  final Record record;
  final Checker checker;
  Store store;
  Cloud cloud;
  final Map<String, Job> jobs = new ConcurrentHashMap<>();
  private final Path root;
  private final Path folder;
  private final List<String> apis = new ArrayList<>();
  private final List<String> meshes = new ArrayList<>();
  private final List<String> storeAddresses = new ArrayList<>();
  private final String[] zoneOf;
  private final List<String> cloudAddresses = new ArrayList<>();
  private final Process[] controllers;
  private final Map<Integer, List<ServerSocket>> reserved = new HashMap<>();
  private final List<Process> all = new ArrayList<>();

  Bench(Path recordFile, int size, List<String> zones) throws IOException {
    this.size = size;
    this.zones = zones;
    this.record = new Record(recordFile);
    this.checker = new Checker(record);
    this.root = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("review-2-");
    this.controllers = new Process[size];
    this.zoneOf = new String[size];
    for (int i = 0; i < size; i++) {
      zoneOf[i] = zones.get(i % zones.size());
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  /** Opens the stand-ins; the controllers are started with {@link #startController}. */
  void open(int running, int capacity, double bootS) throws IOException {
    store = new Store(record, rps, writeRps, txnOps, valueKb);
    cloud = new Cloud(record, this, 4, bootS, capacity);
    for (int i = 0; i < size; i++) {
      apis.add(freeAddress(i));
      meshes.add(freeAddress(i));
      storeAddresses.add(store.listen(i));
      cloudAddresses.add(cloud.listen(i));
    }
    for (int i = 0; i < running; i++) {
      cloud.addRunning(zones.get(i % zones.size()), false);
    }
  }

  String apiAddress(int controller) {
    return apis.get(controller);
  }

  int indexOf(String member) {
    return member.matches("m-[0-9]+") ? Integer.parseInt(member.substring(2)) : -1;
  }

  Job jobOf(String taskId) {
    return jobs.get(taskId.substring(0, taskId.indexOf('/')));
  }

  // ---------------------------------------------------------------- controllers

  void startAll() throws IOException {
    for (int i = 0; i < size; i++) {
      startController(i);
    }
  }

  void startController(int controller) throws IOException {
    Path settings = folder.resolve("m-" + controller + ".toml");
    Files.writeString(settings, settings(controller));
    List<String> command = new ArrayList<>(runCommand());
    command.add(settings.toString());
    for (ServerSocket socket : reserved.getOrDefault(controller, List.of())) {
      socket.close();
    }
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
    builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(folder.resolve("m-" + controller + ".log").toFile()));
    controllers[controller] = builder.start();
    synchronized (all) {
      all.add(controllers[controller]);
    }
    record.line("controller m-" + controller + " is started");
  }

  private List<String> runCommand() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/service.toml")));
    if (!run.find()) {
      throw new IOException("deploy/service.toml has no run");
    }
    return List.of(run.group(1).split(" "));
  }

  private String settings(int controller) {
    StringBuilder toml = new StringBuilder();
    toml.append("member = \"m-").append(controller).append("\"\n");
    toml.append("zone = \"").append(zoneOf[controller]).append("\"\n");
    toml.append("api_addr = \"").append(apis.get(controller)).append("\"\n");
    toml.append("mesh_addr = \"").append(meshes.get(controller)).append("\"\n");
    for (int peer = 0; peer < size; peer++) {
      if (peer != controller) {
        toml.append("[[peers]]\nmember = \"m-").append(peer).append("\"\n");
        toml.append("zone = \"").append(zoneOf[peer]).append("\"\n");
        toml.append("address = \"").append(meshes.get(peer)).append("\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"").append(cloudAddresses.get(controller)).append("\"\n");
    toml.append("state = \"").append(storeAddresses.get(controller)).append("\"\n");
    toml.append("[deployment]\nsize = ").append(size).append("\nzones = [");
    toml.append(String.join(", ", zones.stream().map(zone -> "\"" + zone + "\"").toList()));
    toml.append("]\nclock_error_ms = 5.0\n");
    toml.append("[[deployment.teams]]\nname = \"dunes-design\"\ncpus = ");
    toml.append(cpusGuaranteed).append("\ncpus_max = ").append(cpusMax).append("\ngpus = 0.0\ngpus_max = 0.0\n");
    toml.append("[deployment.workers]\nreport_s = ").append(reportS);
    toml.append("\nlease_s = ").append(leaseS).append("\ngang_wait_s = 40.0\ngang_peer_s = 4.0\n");
    toml.append("cancel_s = ").append(cancelS).append("\n");
    toml.append("[deployment.state]\nrps = ").append(rps).append("\nwrite_rps = ").append(writeRps);
    toml.append("\nvalue_kb = ").append(valueKb).append("\ntxn_ops = ").append(txnOps).append("\n");
    toml.append("[deployment.cloud]\nrps = 2.0\nlist_lag_s = 4.0\n");
    toml.append("[deployment.resources]\ncpu_share = 0.34\nram_mb = 205.0\nmax_connections = 900\n");
    return toml + extraSettings;
  }

  void kill(int controller) {
    record.line("controller m-" + controller + " is killed");
    controllers[controller].destroyForcibly();
  }

  Process process(int controller) {
    return controllers[controller];
  }

  void signal(int controller, String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + controllers[controller].pid())
        .start()
        .waitFor();
    record.line("controller m-" + controller + " gets " + name);
  }

  /** The index of the leader by the stored record, or -1. */
  int leader() {
    for (String key : List.of("g/term/feature/leader", "g/owner")) {
      JsonNode value = store.value(key);
      int index = value == null ? -1 : indexOf(value.path("member").asText());
      if (index >= 0) {
        return index;
      }
    }
    return -1;
  }

  boolean awaitReady(double seconds) {
    return await(
        seconds,
        () -> {
          for (int i = 0; i < size; i++) {
            if (get(i, "/ready", 1).status() != 200) {
              return false;
            }
          }
          return leader() >= 0;
        });
  }

  /** Waits until each controller answers requests, ready or not, and one of them leads. */
  boolean awaitUp(double seconds) {
    return await(
        seconds,
        () -> {
          for (int i = 0; i < size; i++) {
            if (get(i, "/ready", 1).status() == 0) {
              return false;
            }
          }
          return leader() >= 0;
        });
  }

  String log(int controller) throws IOException {
    return Files.readString(folder.resolve("m-" + controller + ".log"));
  }

  // ---------------------------------------------------------------- users

  Answer get(int controller, String path, double timeoutS) {
    return call(controller, "GET", path, (byte[]) null, timeoutS);
  }

  Answer call(int controller, String method, String path, JsonNode body, double timeoutS) {
    return call(controller, method, path, body == null ? null : Json.write(body), timeoutS);
  }

  Answer call(int controller, String method, String path, byte[] body, double timeoutS) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + apis.get(controller) + path))
              .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
              .method(
                  method,
                  body == null
                      ? HttpRequest.BodyPublishers.noBody()
                      : HttpRequest.BodyPublishers.ofByteArray(body))
              .build();
      HttpResponse<byte[]> response = HTTP.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonNode answer = Json.read(response.body());
      return new Answer(response.statusCode(), answer == null ? Json.object() : answer);
    } catch (IOException e) {
      return new Answer(0, Json.object());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Submits a job as a user does: again until it is accepted or refused, for up to 60 s. */
  Answer submit(int controller, Job job) {
    jobs.put(job.ref, job);
    double until = record.now() + 60;
    Answer answer;
    int at = controller;
    do {
      answer = call(at, "POST", "/v1/jobs", job.body(), 5);
      record.line(
          "user submits " + job.ref + " at m-" + at + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 200 || answer.status() == 201
          || answer.status() == 400 || answer.status() == 422) {
        return answer;
      }
      at = (at + 1) % size;
      sleep(1);
    } while (record.now() < until);
    return answer;
  }

  Answer poll(int controller, String ref) {
    Answer answer = get(controller, "/v1/jobs/" + ref, 2);
    record.line(
        "user asks for " + ref + " at m-" + controller + ": " + answer.status() + " " + answer.body());
    return answer;
  }

  Answer withdraw(int controller, String ref) {
    double until = record.now() + 60;
    Answer answer;
    int at = controller;
    do {
      answer = call(at, "POST", "/v1/jobs/" + ref + "/withdraw", Json.object(), 5);
      record.line(
          "user cancels " + ref + " at m-" + at + ": " + answer.status() + " " + answer.body());
      if (answer.status() == 200) {
        return answer;
      }
      at = (at + 1) % size;
      sleep(1);
    } while (record.now() < until);
    return answer;
  }

  // ---------------------------------------------------------------- running a case

  /** A case; returns the exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Scenario {
    int run(Bench bench) throws Exception;
  }

  /** Runs a case with three controllers in one zone, and ends the process with its exit code. */
  static void main(String[] args, Scenario scenario) {
    Thread watchdog =
        new Thread(
            () -> {
              sleep(MAX_RUN_S);
              System.err.println("the case took too long");
              System.exit(2);
            });
    watchdog.setDaemon(true);
    watchdog.start();
    int code = 2;
    try (Bench bench = new Bench(Path.of(args[0]), 3, List.of("duluth"))) {
      bench.record.line("trouble: " + trouble());
      code = scenario.run(bench);
      bench.record.line("exit code " + code);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  // ---------------------------------------------------------------- helpers

  /** A condition that is checked again and again. */
  interface Condition {
    boolean holds() throws Exception;
  }

  boolean await(double seconds, Condition condition) {
    double until = record.now() + seconds;
    while (record.now() < until) {
      try {
        if (condition.holds()) {
          return true;
        }
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
      sleep(0.1);
    }
    return false;
  }

  static void sleep(double seconds) {
    try {
      TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static ThreadFactory daemons() {
    return task -> {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      return thread;
    };
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static String ref(int number) {
    return String.format(Locale.ROOT, "j-%06d", number);
  }

  /** Reserves a port of a controller until it is started. */
  private String freeAddress(int controller) throws IOException {
    ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    reserved.computeIfAbsent(controller, key -> new ArrayList<>()).add(socket);
    return "127.0.0.1:" + socket.getLocalPort();
  }

  private void endProcesses() {
    synchronized (all) {
      for (Process process : all) {
        process.destroyForcibly();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    synchronized (all) {
      for (Process process : all) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    record.close();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.list(folder)) {
        files.forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        // The folder is temporary.
      }
      folder.toFile().delete();
    } else {
      System.err.println("logs are kept in " + folder);
    }
  }
}

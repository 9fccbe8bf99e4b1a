import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: controllers as processes of the deploy file's command, with
 * stand-ins for the state service, the cloud, the workers and the users. Writes the record.
 */
final class World implements Fleet.Observer, AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  /** A script must end within 120 seconds. */
  private static final double MAX_S = 117;

  /** Exit codes of a case. */
  static final int HELD = 0;

  static final int BROKEN = 1;
  static final int COULD_NOT_RUN = 2;

  /** What the settings say of workers and of the cloud's list. */
  record Timing(double reportS, double leaseS, double cancelS, double listLagS) {}

  /** A case could not be brought about; it proves nothing. */
  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1L;

    CannotRun(String why) {
      super(why);
    }
  }

  /** A stay of a task on a machine; endedAt is infinite while it lasts. */
  static final class Stay {
    final String task;
    final String machine;
    final double startedAt;
    double endedAt = Double.POSITIVE_INFINITY;

    Stay(String task, String machine, double startedAt) {
      this.task = task;
      this.machine = machine;
      this.startedAt = startedAt;
    }
  }

  final Timing timing;
  final Store store;
  final Fleet fleet;
  private final Path folder;
  private final PrintWriter record;
  private final double startedAt = Net.now();
  private final List<String> members = new ArrayList<>();
  private final List<Integer> apiPorts = new ArrayList<>();
  private final List<Integer> meshPorts = new ArrayList<>();
  private final List<Net.Link> links = new ArrayList<>();
  private final Process[] controllers;
  private final List<Process> started = new ArrayList<>();
  private final List<Stay> stays = new ArrayList<>();
  private final Map<String, Stay> current = new LinkedHashMap<>();
  private final String settings;
  private final String command;

  /** Starts the stand-ins, but no controller. */
  World(String recordFile, Timing timing, int size, int machines, String settings)
      throws Exception {
    this.timing = timing;
    this.settings = settings;
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
    controllers = new Process[size];
    command = runCommand();
    store = new Store(12);
    for (int i = 0; i < size; i++) {
      members.add("mill-" + i);
      apiPorts.add(freePort());
      meshPorts.add(freePort());
      links.add(new Net.Link(apiPorts.get(i)));
    }
    fleet = new Fleet(timing, "duluth", machines, members, links, this);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    Net.daemon(
        () -> {
          Net.sleep(MAX_S);
          write("the case did not end in time");
          Runtime.getRuntime().exit(COULD_NOT_RUN);
        });
  }

  /** The deploy file's command, to which the path of a settings file is appended. */
  private static String runCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.lastIndexOf('"'));
      }
    }
    throw new CannotRun("deploy/service.toml has no run");
  }

  /** A free port below those that the system gives to outgoing connections. */
  private static int freePort() throws IOException {
    for (int i = 0; i < 1000; i++) {
      int port = 12_000 + (int) (Math.random() * 20_000);
      try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        return s.getLocalPort();
      } catch (IOException taken) {
        // Another one.
      }
    }
    throw new CannotRun("no free port");
  }

  /** Seconds since the case began. */
  double time() {
    return Net.now() - startedAt;
  }

  synchronized void write(String text) {
    record.printf("%8.3f %s%n", time(), text);
  }

  // ---------------------------------------------------------------- controllers

  int size() {
    return controllers.length;
  }

  void start(int i) throws IOException {
    StringBuilder toml = new StringBuilder();
    toml.append("member = \"").append(members.get(i)).append("\"\nzone = \"duluth\"\n");
    toml.append("api_addr = \"127.0.0.1:").append(apiPorts.get(i)).append("\"\n");
    toml.append("mesh_addr = \"127.0.0.1:").append(meshPorts.get(i)).append("\"\n");
    for (int peer = 0; peer < size(); peer++) {
      if (peer != i) {
        toml.append("[[peers]]\nmember = \"").append(members.get(peer));
        toml.append("\"\nzone = \"duluth\"\naddress = \"127.0.0.1:");
        toml.append(meshPorts.get(peer)).append("\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"127.0.0.1:").append(fleet.ports.get(i));
    toml.append("\"\nstate = \"127.0.0.1:").append(store.port).append("\"\n").append(settings);
    Path file = folder.resolve(members.get(i) + ".toml");
    Files.writeString(file, toml.toString());
    List<String> arguments = new ArrayList<>(List.of(command.split(" ")));
    arguments.add(file.toString());
    ProcessBuilder builder = new ProcessBuilder(arguments);
    builder.environment().put("LOG_LEVEL", "info");
    File log = folder.resolve(members.get(i) + "-" + started.size() + ".log").toFile();
    builder.redirectOutput(log).redirectError(log);
    synchronized (this) {
      controllers[i] = builder.start();
      started.add(controllers[i]);
    }
    write("started " + members.get(i));
  }

  void kill(int i) throws InterruptedException {
    controllers[i].destroyForcibly().waitFor();
    write("killed " + members.get(i));
  }

  /** Stops a controller's process, or lets it go on. */
  void freeze(int i, boolean on) throws Exception {
    String pid = String.valueOf(controllers[i].pid());
    new ProcessBuilder("kill", on ? "-STOP" : "-CONT", pid).start().waitFor();
    write((on ? "stopped " : "continued ") + members.get(i));
  }

  void startAll() throws IOException {
    for (int i = 0; i < size(); i++) {
      start(i);
    }
    for (int i = 0; i < size(); i++) {
      int node = i;
      await(members.get(i) + " is ready", 25, () -> isReady(node));
    }
  }

  boolean isReady(int i) {
    Net.Answer answer = call(i, "GET", "/ready", null, 1);
    return answer != null && answer.status() == 200;
  }

  /** The link on which workers reach a controller. */
  Net.Link linkTo(int i) {
    return links.get(i);
  }

  interface Condition {
    boolean holds() throws Exception;
  }

  void await(String what, double withinS, Condition condition) {
    double until = Net.now() + withinS;
    while (Net.now() < until) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (Exception e) {
        throw new CannotRun(what + ": " + e);
      }
      Net.sleep(0.05);
    }
    throw new CannotRun("not within " + withinS + " s: " + what);
  }

  /** The controller that answers all workers, once they agree. */
  int leader() {
    int[] leader = {-1};
    await(
        "all workers are served by one controller",
        20,
        () -> {
          List<Fleet.Worker> workers = fleet.workers();
          leader[0] = workers.isEmpty() ? -1 : workers.get(0).servedBy;
          return leader[0] >= 0 && workers.stream().allMatch(w -> w.servedBy == leader[0]);
        });
    return leader[0];
  }

  // ---------------------------------------------------------------- users

  private Net.Answer call(int node, String method, String path, ObjectNode body, double timeoutS) {
    Net.Client client = new Net.Client();
    Net.Answer answer = client.call(apiPorts.get(node), method, path, body, timeoutS);
    client.close();
    return answer;
  }

  /** An array of tasks, as PROTOCOL has it. */
  static ObjectNode array(String ref, int boards, double cpus, double expectedS) {
    ObjectNode n = Net.object().put("ref", ref).put("lot", "frame-batch");
    n.put("crew", "harbor-studio").put("cut", "array").put("urgency", "normal");
    n.put("boards", boards).put("cpus", cpus).put("cards", 0.0).put("mem_gb", 1.0);
    n.put("blade", "img-01").put("pull_gb", 0.1).putNull("rigs").putNull("yard");
    n.put("one_zone", false).put("apart", false).put("borrowed", false);
    n.put("expected_s", expectedS).put("stack_s", 0.0).put("stack_write_s", 0.0);
    return n.putNull("ship_s");
  }

  /** A service of replicas, as PROTOCOL has it. */
  static ObjectNode service(String ref, int boards, double cpus) {
    return array(ref, boards, cpus, 0)
        .put("lot", "preview-service")
        .put("cut", "standing")
        .put("urgency", "prod");
  }

  /** Submits a job at a controller and repeats that until it is accepted. */
  void submit(int node, ObjectNode job, double runS) {
    String ref = job.path("ref").asText();
    fleet.runS.put(ref, runS);
    double until = Net.now() + 60;
    while (Net.now() < until) {
      Net.Answer answer = call(node, "POST", "/v1/jobs", job, 5);
      write("user: submit " + ref + " at " + members.get(node) + " -> " + text(answer));
      if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
        return;
      }
      Net.sleep(1);
    }
    throw new CannotRun(ref + " was not accepted");
  }

  /** Polls a job once; the answer may be null. */
  Net.Answer poll(int node, String ref) {
    Net.Answer answer = call(node, "GET", "/v1/jobs/" + ref, null, 2);
    write("user: poll " + ref + " at " + members.get(node) + " -> " + text(answer));
    return answer;
  }

  /** Cancels a job once; returns true if the user was told that it is cancelled. */
  boolean withdraw(int node, String ref) {
    Net.Answer answer = call(node, "POST", "/v1/jobs/" + ref + "/withdraw", Net.object(), 5);
    write("user: withdraw " + ref + " at " + members.get(node) + " -> " + text(answer));
    return answer != null
        && answer.status() == 200
        && answer.body().path("stage").asText().equals("cancelled");
  }

  private static String text(Net.Answer answer) {
    return answer == null ? "no answer" : answer.status() + " " + answer.body();
  }

  // ---------------------------------------------------------------- tasks

  @Override
  public synchronized void started(String task, int pass, String machine) {
    write("worker " + machine + ": " + task + " pass " + pass + " starts");
    Stay stay = new Stay(task, machine, time());
    stays.add(stay);
    current.put(task + "@" + machine, stay);
  }

  @Override
  public synchronized void ended(String task, int pass, String machine, String cause) {
    write("worker " + machine + ": " + task + " pass " + pass + " ends: " + cause);
    Stay stay = current.remove(task + "@" + machine);
    if (stay != null) {
      stay.endedAt = time();
    }
  }

  /** Deletions of machines with running tasks: who asked, and for what. */
  record Deletion(double at, String member, String machine, List<String> tasks) {}

  private final List<Deletion> deletions = new ArrayList<>();

  synchronized List<Deletion> deletions() {
    return List.copyOf(deletions);
  }

  @Override
  public synchronized void deleted(String member, List<String> machines) {
    write("cloud: " + member + " deletes " + machines);
    for (String machine : machines) {
      List<String> tasks =
          current.values().stream().filter(s -> s.machine.equals(machine)).map(s -> s.task).toList();
      if (!tasks.isEmpty()) {
        deletions.add(new Deletion(time(), member, machine, tasks));
      }
    }
  }

  @Override
  public void commanded(
      String machine, String commands, boolean executed, long token, long session) {
    write(
        "worker " + machine + ": direct commands " + commands
            + (executed ? "" : " refused, it is at token " + token + " and shift " + session));
  }

  /** All stays of a job's tasks so far. */
  synchronized List<Stay> stays(String ref) {
    return stays.stream().filter(stay -> stay.task.startsWith(ref + "/")).toList();
  }

  long running(String ref) {
    return stays(ref).stream().filter(stay -> stay.endedAt > time()).count();
  }

  synchronized long runningInAll() {
    return current.size();
  }

  synchronized long startsSince(double at) {
    return stays.stream().filter(stay -> stay.startedAt > at).count();
  }

  /** Breaches of ran_cancelled for a job whose user was told at this time that it is cancelled. */
  List<String> ranCancelled(String ref, double toldAt) {
    double limit = toldAt + timing.cancelS();
    List<String> breaches = new ArrayList<>();
    for (Stay stay : stays(ref)) {
      if (stay.startedAt > limit) {
        breaches.add(
            String.format(
                "ran_cancelled: %s starts on %s %.1f s after its user was told",
                stay.task, stay.machine, stay.startedAt - toldAt));
      } else if (Math.min(stay.endedAt, time()) > limit) {
        breaches.add(
            String.format(
                "ran_cancelled: %s is on %s, %s, until %.1f s after its user was told",
                stay.task,
                stay.machine,
                stay.endedAt > time() ? "and goes on" : "over now",
                Math.min(stay.endedAt, time()) - toldAt));
      }
    }
    return breaches;
  }

  // ---------------------------------------------------------------- the end

  private synchronized void endAll() {
    started.forEach(Process::destroyForcibly);
  }

  @Override
  public void close() throws Exception {
    endAll();
    for (Process process : started) {
      process.waitFor(5, TimeUnit.SECONDS);
    }
    String keep = System.getenv("REVIEW_LOGS");
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        if (keep != null) {
          Files.copy(file, Path.of(keep).resolve(file.getFileName()),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  interface Scenario {
    List<String> play(World world) throws Exception;
  }

  /** Plays a case; exits with what it shows. */
  static void play(World world, Scenario scenario) throws Exception {
    int code;
    try (world) {
      List<String> breaches = scenario.play(world);
      breaches.forEach(world::write);
      code = breaches.isEmpty() ? HELD : BROKEN;
      world.write(code == HELD ? "the rule held" : "the rule was broken");
    } catch (CannotRun e) {
      world.write("the case could not run: " + e.getMessage());
      code = COULD_NOT_RUN;
      System.out.println(e.getMessage());
    }
    System.out.println(
        code == HELD ? "held" : code == BROKEN ? "broken" : "could not run, see record.txt");
    System.exit(code);
  }

  /** Settings like those of the smaller render farm. */
  static String lakeshore(Timing timing) {
    return """
        [deployment]
        size = 3
        zones = ["duluth"]
        clock_error_ms = 5.0
        [[deployment.teams]]
        name = "harbor-studio"
        cpus = 88.0
        cpus_max = 216.0
        gpus = 0.0
        gpus_max = 0.0
        [deployment.workers]
        report_s = %s
        lease_s = %s
        gang_wait_s = 40.0
        gang_peer_s = 4.0
        cancel_s = %s
        [deployment.state]
        rps = 250.0
        write_rps = 30.0
        value_kb = 16.0
        txn_ops = 12
        [deployment.cloud]
        rps = 2.0
        list_lag_s = %s
        [deployment.resources]
        cpu_share = 0.34
        ram_mb = 205.0
        max_connections = 900
        """
        .formatted(timing.reportS(), timing.leaseS(), timing.cancelS(), timing.listLagS());
  }
}

package graderelay.cli;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.net.Exchange;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.sim.SimStore;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Controllers as processes of their own on loopback, with stand-ins for the store, the cloud and
 * its workers.
 */
final class LocalDeployment implements AutoCloseable {
  private static final int TXN_OPS = 12;
  private static final int CONNECTIONS = 200;
  private static final long END_S = 10;
  private static final int TRIES = 400;
  private static final long PAUSE_MS = 100;

  private final Path folder;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<Process> processes = new ArrayList<>();
  private final Process[] controllers;
  private final List<String> addresses = new CopyOnWriteArrayList<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private final SimStore store;
  private final LoopbackFleet fleet;
  private final String state;
  private final String cloud;
  private final int limit;

  /** The jars of other builds by the controllers that start from them. */
  private final Map<Integer, Path> otherBuilds = new HashMap<>();

  /** What a tool printed and how it ended. */
  record Outcome(int code, String out, String err) {}

  /** Controllers with nothing switched on, and a cloud that has no machine to give. */
  LocalDeployment(Path folder, int size) throws Exception {
    this(folder, size, 0, null);
  }

  /** Controllers that start with the same options, for a team without a limit. */
  LocalDeployment(Path folder, int size, int machines, String options) throws Exception {
    this(folder, size, machines, options, 0);
  }

  /**
   * Controllers that start with the same options.
   *
   * @param machines that the cloud has to give
   * @param options what to switch on, or null
   * @param limit CPUs that the settings allow the team, or 0 for any number
   */
  LocalDeployment(Path folder, int size, int machines, String options, int limit) throws Exception {
    this(folder, size, machines, options, limit, null);
  }

  /**
   * Controllers that start with the same options from the jar of another build.
   *
   * @param machines that the cloud has to give
   * @param options what to switch on, or null
   * @param limit CPUs that the settings allow the team, or 0 for any number
   * @param otherBuild the jar, or null for the build under test
   */
  LocalDeployment(Path folder, int size, int machines, String options, int limit, Path otherBuild)
      throws Exception {
    this.folder = folder;
    this.limit = limit;
    this.controllers = new Process[size];
    var loop = group.next();
    var clock = new NettyLoop(loop);
    store = new SimStore(clock, TXN_OPS);
    state = listen(loop, clock, store.forNode(new boolean[1]));
    fleet = new LoopbackFleet(loop, clock, addresses, machines);
    cloud = listen(loop, clock, fleet);
    for (int i = 0; i < size; i++) {
      addresses.add(freeAddress());
      peerAddresses.add(freeAddress());
    }
    for (int i = 0; i < size; i++) {
      useBuild(i, otherBuild);
      start(i, options);
    }
  }

  /** Looks again and again until something holds. */
  static void eventually(String what, Callable<Boolean> holds) throws Exception {
    for (int i = 0; i < TRIES; i++) {
      if (holds.call()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    }
    throw new AssertionError("not after all tries: " + what);
  }

  /**
   * From its next start on the controller runs from this jar, or, if null, the build under test.
   */
  void useBuild(int controller, Path otherBuild) {
    if (otherBuild == null) {
      otherBuilds.remove(controller);
    } else {
      otherBuilds.put(controller, otherBuild);
    }
  }

  /** True if the controller runs from the jar of another build. */
  boolean usesOtherBuild(int controller) {
    return otherBuilds.containsKey(controller);
  }

  /** Starts a controller's process with these options, or with nothing switched on. */
  void start(int controller, String options) throws IOException {
    Path settings = folder.resolve("m-" + controller + ".toml");
    Files.writeString(settings, settings(controller, peerAddresses, state, cloud));
    List<String> arguments = new ArrayList<>(List.of("serve"));
    if (options != null) {
      Path file = folder.resolve("options-" + controller + ".toml");
      Files.writeString(file, options);
      arguments.addAll(List.of("--options", file.toString()));
    }
    arguments.addAll(List.of("--config", settings.toString()));
    controllers[controller] =
        launch(
            "m-" + controller + "-" + processes.size(),
            otherBuilds.get(controller),
            arguments.toArray(new String[0]));
    processes.add(controllers[controller]);
  }

  /** Ends a controller's process without a word. */
  void kill(int controller) throws InterruptedException {
    controllers[controller].destroyForcibly().waitFor();
  }

  /** The process that runs as a controller now. */
  Process process(int controller) {
    return controllers[controller];
  }

  /** From their next start on all know the controller by new addresses. */
  void move(int controller) throws IOException {
    addresses.set(controller, freeAddress());
    peerAddresses.set(controller, freeAddress());
  }

  /** Sends a signal to a process that this deployment has started. */
  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /** What a process has written to standard error, by the order of starts. */
  String errors(int controller, int start) throws IOException {
    return Files.readString(folder.resolve("m-" + controller + "-" + start + ".err"));
  }

  LoopbackFleet fleet() {
    return fleet;
  }

  /** A stored record, or null. */
  JsonNode stored(String key) throws Exception {
    return group.next().submit(() -> store.value(key)).get();
  }

  /** The address at which a controller serves users and operators. */
  String address(int controller) {
    return addresses.get(controller);
  }

  /** Runs a tool of the command line to its end. */
  Outcome run(String... arguments) throws IOException, InterruptedException {
    return runFrom(null, arguments);
  }

  /** Runs a tool of the command line to its end, from a jar or, if null, the build under test. */
  Outcome runFrom(Path otherBuild, String... arguments) throws IOException, InterruptedException {
    Process tool = launch("tool", otherBuild, arguments);
    if (!tool.waitFor(END_S, TimeUnit.SECONDS)) {
      tool.destroyForcibly();
    }
    return new Outcome(
        tool.waitFor(),
        Files.readString(folder.resolve("tool.out")),
        Files.readString(folder.resolve("tool.err")));
  }

  private Process launch(String name, Path otherBuild, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx64m"));
    command.addAll(
        otherBuild == null
            ? List.of("-cp", System.getProperty("java.class.path"), Main.class.getName())
            : List.of("-jar", otherBuild.toString()));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command)
        .redirectOutput(folder.resolve(name + ".out").toFile())
        .redirectError(folder.resolve(name + ".err").toFile())
        .start();
  }

  private static String listen(
      io.netty.channel.EventLoop loop, NettyLoop clock, Exchange.Handler handler)
      throws InterruptedException {
    var channel =
        new HttpServer(loop, clock, CONNECTIONS, handler).listen("127.0.0.1:0").sync().channel();
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private String settings(int i, List<String> peerClient, String state, String cloud) {
    StringBuilder s = new StringBuilder();
    s.append("member = \"m-").append(i).append("\"\nzone = \"a\"\n");
    s.append("api_addr = \"").append(addresses.get(i)).append("\"\n");
    s.append("mesh_addr = \"").append(peerClient.get(i)).append("\"\n");
    for (int k = 0; k < peerClient.size(); k++) {
      if (k != i) {
        s.append("[[peers]]\nmember = \"m-").append(k).append("\"\nzone = \"a\"\n");
        s.append("address = \"").append(peerClient.get(k)).append("\"\n");
      }
    }
    s.append("[outside]\ncloud = \"").append(cloud).append("\"\n");
    s.append("state = \"").append(state).append("\"\n");
    String deployment =
        """
        [deployment]
        size = 3
        zones = ["a"]
        clock_error_ms = 100.0
        [[deployment.teams]]
        name = "team"
        cpus = 0.0
        cpus_max = %d.0
        gpus = 0.0
        gpus_max = 0.0
        [deployment.workers]
        report_s = 2.0
        lease_s = 12.0
        cancel_s = 40.0
        [deployment.state]
        rps = 200.0
        write_rps = 100.0
        value_kb = 16.0
        txn_ops = 12
        [deployment.cloud]
        rps = 2.0
        list_lag_s = 4.0
        [deployment.resources]
        cpu_share = 0.34
        max_connections = 200
        """
            .formatted(limit);
    return s + deployment;
  }

  @Override
  public void close() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly();
      process.waitFor(END_S, TimeUnit.SECONDS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}

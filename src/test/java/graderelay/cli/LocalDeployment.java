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
 * Runs controllers as separate processes on loopback, with simulations of the store, the cloud and
 * the workers.
 */
final class LocalDeployment implements AutoCloseable {
  private static final int TXN_OPS = 12;
  private static final int MAX_CONNECTIONS = 200;
  private static final long EXIT_TIMEOUT_S = 10;
  private static final int MAX_CHECKS = 400;
  private static final long CHECK_INTERVAL_MS = 100;

  private final Path folder;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<Process> processes = new ArrayList<>();
  private final Process[] controllers;
  private final List<String> addresses = new CopyOnWriteArrayList<>();
  private final List<String> peerAddresses = new ArrayList<>();
  private final SimStore store;
  private final LoopbackFleet fleet;
  private final String storeAddress;
  private final String cloudAddress;
  private final int cpuLimit;

  /** Jars of other builds, by the controllers that are started from them. */
  private final Map<Integer, Path> otherBuilds = new HashMap<>();

  /** The output and the exit code of a command. */
  record CommandResult(int exitCode, String standardOutput, String standardError) {}

  /** Starts controllers without an options file, and a cloud without machines. */
  LocalDeployment(Path folder, int size) throws Exception {
    this(folder, size, 0, null);
  }

  /** Starts controllers with the same options and a team without a limit. */
  LocalDeployment(Path folder, int size, int machines, String options) throws Exception {
    this(folder, size, machines, options, 0);
  }

  /**
   * Starts controllers with the same options.
   *
   * @param machines number of machines that the cloud can provide
   * @param options the content of the options file, or null for none
   * @param cpuLimit CPU limit of the team in the settings, or 0 for no limit
   */
  LocalDeployment(Path folder, int size, int machines, String options, int cpuLimit)
      throws Exception {
    this(folder, size, machines, options, cpuLimit, null);
  }

  /**
   * Starts controllers with the same options from the jar of another build.
   *
   * @param machines number of machines that the cloud can provide
   * @param options the content of the options file, or null for none
   * @param cpuLimit CPU limit of the team in the settings, or 0 for no limit
   * @param otherBuild the jar, or null for the build under test
   */
  LocalDeployment(
      Path folder, int size, int machines, String options, int cpuLimit, Path otherBuild)
      throws Exception {
    this.folder = folder;
    this.cpuLimit = cpuLimit;
    this.controllers = new Process[size];
    var loop = group.next();
    var clock = new NettyLoop(loop);
    store = new SimStore(clock, TXN_OPS);
    storeAddress = listen(loop, clock, store.forNode(new boolean[1]));
    fleet = new LoopbackFleet(loop, clock, addresses, machines);
    cloudAddress = listen(loop, clock, fleet);
    for (int i = 0; i < size; i++) {
      addresses.add(freeAddress());
      peerAddresses.add(freeAddress());
    }
    for (int i = 0; i < size; i++) {
      useBuild(i, otherBuild);
      start(i, options);
    }
  }

  /** Checks a condition repeatedly until it holds. */
  static void eventually(String description, Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < MAX_CHECKS; i++) {
      if (condition.call()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
    }
    throw new AssertionError("condition did not become true: " + description);
  }

  /** Sets the jar that a controller is started from; null is the build under test. */
  void useBuild(int controller, Path otherBuild) {
    if (otherBuild == null) {
      otherBuilds.remove(controller);
    } else {
      otherBuilds.put(controller, otherBuild);
    }
  }

  /** Returns true if a controller is started from the jar of another build. */
  boolean usesOtherBuild(int controller) {
    return otherBuilds.containsKey(controller);
  }

  /**
   * Starts the process of a controller with these options, or without an options file if they are
   * null.
   */
  void start(int controller, String options) throws IOException {
    Path settings = folder.resolve("m-" + controller + ".toml");
    Files.writeString(settings, settings(controller, peerAddresses, storeAddress, cloudAddress));
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

  /** Kills the process of a controller. */
  void kill(int controller) throws InterruptedException {
    controllers[controller].destroyForcibly().waitFor();
  }

  /** Returns the current process of a controller. */
  Process process(int controller) {
    return controllers[controller];
  }

  /**
   * Assigns new addresses to a controller, which apply to each controller from its next start on.
   */
  void changeAddresses(int controller) throws IOException {
    addresses.set(controller, freeAddress());
    peerAddresses.set(controller, freeAddress());
  }

  /** Sends a signal to a process of this deployment. */
  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor();
  }

  /**
   * Returns the standard error of a process.
   *
   * @param startIndex number of processes that this deployment had started before this one
   */
  String standardError(int controller, int startIndex) throws IOException {
    return Files.readString(folder.resolve("m-" + controller + "-" + startIndex + ".err"));
  }

  LoopbackFleet fleet() {
    return fleet;
  }

  /** Returns a stored record, or null if there is none. */
  JsonNode stored(String key) throws Exception {
    return group.next().submit(() -> store.value(key)).get();
  }

  /** Returns the API address of a controller. */
  String address(int controller) {
    return addresses.get(controller);
  }

  /** Runs a command until it exits. */
  CommandResult run(String... arguments) throws IOException, InterruptedException {
    return runFrom(null, arguments);
  }

  /** Runs a command until it exits, from a jar or, if that is null, the build under test. */
  CommandResult runFrom(Path otherBuild, String... arguments)
      throws IOException, InterruptedException {
    Process process = launch("tool", otherBuild, arguments);
    if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
    return new CommandResult(
        process.waitFor(),
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
        new HttpServer(loop, clock, MAX_CONNECTIONS, handler)
            .listen("127.0.0.1:0")
            .sync()
            .channel();
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private String settings(
      int controller, List<String> peers, String storeAddress, String cloudAddress) {
    StringBuilder toml = new StringBuilder();
    toml.append("member = \"m-").append(controller).append("\"\nzone = \"a\"\n");
    toml.append("api_addr = \"").append(addresses.get(controller)).append("\"\n");
    toml.append("mesh_addr = \"").append(peers.get(controller)).append("\"\n");
    for (int peer = 0; peer < peers.size(); peer++) {
      if (peer != controller) {
        toml.append("[[peers]]\nmember = \"m-").append(peer).append("\"\nzone = \"a\"\n");
        toml.append("address = \"").append(peers.get(peer)).append("\"\n");
      }
    }
    toml.append("[outside]\ncloud = \"").append(cloudAddress).append("\"\n");
    toml.append("state = \"").append(storeAddress).append("\"\n");
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
            .formatted(cpuLimit);
    return toml + deployment;
  }

  @Override
  public void close() throws Exception {
    for (Process process : processes) {
      process.destroyForcibly();
      process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}

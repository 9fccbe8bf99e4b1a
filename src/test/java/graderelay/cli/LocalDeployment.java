package graderelay.cli;

import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.sim.SimState;
import graderelay.wire.Json;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Controllers as processes of their own on loopback, with stand-ins for the state service and for a
 * cloud that has no machine to give.
 */
final class LocalDeployment implements AutoCloseable {
  private static final int TXN_OPS = 12;
  private static final int CONNECTIONS = 200;
  private static final long END_S = 10;

  private final Path folder;
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final List<Process> controllers = new ArrayList<>();
  private final List<String> addresses = new ArrayList<>();

  /** What a tool printed and how it ended. */
  record Outcome(int code, String out, String err) {}

  LocalDeployment(Path folder, int size) throws Exception {
    this.folder = folder;
    var loop = group.next();
    var clock = new NettyLoop(loop);
    SimState store = new SimState(clock, TXN_OPS);
    String state = listen(loop, clock, store.forNode(new boolean[1]));
    String cloud = listen(loop, clock, LocalDeployment::emptyCloud);
    List<String> mesh = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      addresses.add(freeAddress());
      mesh.add(freeAddress());
    }
    for (int i = 0; i < size; i++) {
      Path settings = folder.resolve("m-" + i + ".toml");
      Files.writeString(settings, settings(i, mesh, state, cloud));
      controllers.add(start("m-" + i, "serve", "--config", settings.toString()));
    }
  }

  /** The address at which a controller serves users and operators. */
  String address(int controller) {
    return addresses.get(controller);
  }

  /** Runs a tool of the command line to its end. */
  Outcome run(String... arguments) throws IOException, InterruptedException {
    Process tool = start("tool", arguments);
    if (!tool.waitFor(END_S, TimeUnit.SECONDS)) {
      tool.destroyForcibly();
    }
    return new Outcome(
        tool.waitFor(),
        Files.readString(folder.resolve("tool.out")),
        Files.readString(folder.resolve("tool.err")));
  }

  private Process start(String name, String... arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of("-XX:TieredStopAtLevel=1", "-XX:+UseSerialGC", "-Xmx64m"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
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

  private static void emptyCloud(Exchange e) {
    String answer =
        switch (e.path()) {
          case "/machine_types" ->
              "{\"rigs\":[{\"sku\":\"small\",\"cpus\":4,\"cards\":0,\"mem_gb\":16,\"cache_gb\":9,"
                  + "\"pull_gb_per_s\":1,\"price\":1,\"market_price\":1,\"ready_s\":10,"
                  + "\"yards\":[\"a\"]}]}";
          default -> "{\"saws\":[],\"truncated\":false}";
        };
    boolean hire = e.method().equals("POST") && e.path().equals("/machines");
    e.to()
        .accept(
            hire
                ? Answer.json(503, Json.error("no capacity"))
                : Answer.json(200, answer.getBytes(java.nio.charset.StandardCharsets.UTF_8)));
  }

  private String settings(int i, List<String> mesh, String state, String cloud) {
    StringBuilder s = new StringBuilder();
    s.append("member = \"m-").append(i).append("\"\nzone = \"a\"\n");
    s.append("api_addr = \"").append(addresses.get(i)).append("\"\n");
    s.append("mesh_addr = \"").append(mesh.get(i)).append("\"\n");
    for (int k = 0; k < mesh.size(); k++) {
      if (k != i) {
        s.append("[[peers]]\nmember = \"m-").append(k).append("\"\nzone = \"a\"\n");
        s.append("address = \"").append(mesh.get(k)).append("\"\n");
      }
    }
    s.append("[outside]\ncloud = \"").append(cloud).append("\"\n");
    s.append("state = \"").append(state).append("\"\n");
    return s
        + """
        [deployment]
        size = 3
        zones = ["a"]
        clock_error_ms = 100.0
        [[deployment.teams]]
        name = "team"
        cpus = 0.0
        cpus_max = 0.0
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
        """;
  }

  @Override
  public void close() throws Exception {
    for (Process controller : controllers) {
      controller.destroyForcibly();
      controller.waitFor(END_S, TimeUnit.SECONDS);
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}

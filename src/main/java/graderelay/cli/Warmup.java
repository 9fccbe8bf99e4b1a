package graderelay.cli;

import graderelay.config.Settings;
import graderelay.net.HttpClient;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.net.Reply;
import graderelay.service.ControllerNode;
import graderelay.wire.Json;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import picocli.CommandLine.Command;

/**
 * Runs a controller for a moment on loopback, against a stand-in for the store and the cloud, so
 * that the build can archive the classes that a start needs. A restart then costs far less
 * processor time, of which a controller has a fraction of a core. Run by the build; of no use to
 * operators.
 */
@Command(name = "warmup", hidden = true, description = "Load the service's classes and end.")
final class Warmup implements Callable<Integer> {
  private static final String SETTINGS =
      """
      member = "w-0"
      zone = "w"
      api_addr = "127.0.0.1:0"
      mesh_addr = "127.0.0.1:0"
      [outside]
      cloud = "127.0.0.1:1"
      state = "127.0.0.1:1"
      [[deployment.teams]]
      name = "w"
      cpus = 0.0
      cpus_max = 0.0
      gpus = 0.0
      gpus_max = 0.0
      [deployment.workers]
      report_s = 2.0
      lease_s = 12.0
      cancel_s = 40.0
      [deployment.state]
      rps = 100.0
      write_rps = 25.0
      value_kb = 16.0
      txn_ops = 12
      [deployment.cloud]
      rps = 2.0
      list_lag_s = 4.0
      [deployment.resources]
      cpu_share = 0.34
      max_connections = 100
      """;

  /** How often the leader is looked for, and the pause in between, in milliseconds. */
  private static final int LEADER_CHECKS = 100;

  private static final long LEADER_CHECK_MS = 20;

  /** Milliseconds in which the submitted job is placed. */
  private static final long PLACEMENT_MS = 100;

  /** Connections that a server may have, and idle ones that the client keeps. */
  private static final int MOST_CONNECTIONS = 100;

  private static final int IDLE_CONNECTIONS = 16;

  private static final String ANY_PORT = "127.0.0.1:0";

  @Override
  public Integer call() throws Exception {
    Settings settings = loadSettings();
    if (settings == null) {
      return Main.FAILED;
    }
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    EventLoop eventLoop = group.next();
    NettyLoop loop = new NettyLoop(eventLoop);
    HttpClient client = new HttpClient(eventLoop, IDLE_CONNECTIONS);
    HttpServer outside = new HttpServer(eventLoop, loop, MOST_CONNECTIONS, new WarmupWorld());
    String outsideAddress = listen(outside);
    ControllerNode controller =
        new ControllerNode(
            loop,
            (address, method, path, body, timeout, done) ->
                client.call(outsideAddress, method, path, body, timeout, done),
            settings,
            new SplittableRandom(1));
    HttpServer api = new HttpServer(eventLoop, loop, MOST_CONNECTIONS, controller::handle);
    String apiAddress = listen(api);
    loop.execute(controller::start);
    for (int i = 0; i < LEADER_CHECKS && !leads(loop, controller); i++) {
      TimeUnit.MILLISECONDS.sleep(LEADER_CHECK_MS);
    }
    playRequests(new User(loop, client, apiAddress));
    loop.execute(controller::close);
    api.close();
    outside.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
    return 0;
  }

  /** Reads the settings from a file, as a controller does; null if the file can't be deleted. */
  private static Settings loadSettings() throws IOException, Settings.Wrong {
    File file = File.createTempFile("warmup", ".toml");
    Files.writeString(file.toPath(), SETTINGS);
    Settings settings = Settings.load(file.getPath());
    return file.delete() ? settings : null;
  }

  /** Starts a server on a free port, and returns its address. */
  private static String listen(HttpServer server) throws InterruptedException {
    Channel channel = server.listen(ANY_PORT).sync().channel();
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Takes one job through its life, so that the classes that it needs are loaded. */
  private static void playRequests(User user) throws InterruptedException {
    user.ask("GET", "/ready", null);
    user.ask("POST", "/checkin", WarmupWorld.HEARTBEAT);
    user.ask("POST", "/v1/jobs", WarmupWorld.JOB);
    TimeUnit.MILLISECONDS.sleep(PLACEMENT_MS);
    user.ask("GET", "/v1/jobs/j-000001", null);
    user.ask("POST", "/checkin", WarmupWorld.HEARTBEAT);
    user.ask("POST", "/v1/jobs/j-000001/withdraw", "");
    user.ask("GET", "/metrics", null);
  }

  private static boolean leads(NettyLoop loop, ControllerNode controller)
      throws InterruptedException {
    AtomicBoolean leads = new AtomicBoolean();
    CountDownLatch answered = new CountDownLatch(1);
    loop.execute(
        () -> {
          leads.set(controller.core() != null);
          answered.countDown();
        });
    answered.await(1, TimeUnit.SECONDS);
    return leads.get();
  }

  /** Sends requests to the controller's address, one after the other. */
  private record User(NettyLoop loop, HttpClient client, String address) {
    /** Waits up to two seconds for the answer, which is read and thrown away. */
    void ask(String method, String path, String body) throws InterruptedException {
      CountDownLatch answered = new CountDownLatch(1);
      byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
      loop.execute(
          () ->
              client.call(
                  address,
                  method,
                  path,
                  bytes,
                  1,
                  (Reply reply) -> {
                    Json.read(reply.body());
                    answered.countDown();
                  }));
      answered.await(2, TimeUnit.SECONDS);
    }
  }
}

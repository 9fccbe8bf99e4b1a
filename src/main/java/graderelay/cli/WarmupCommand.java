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
 * Runs a controller briefly on loopback against a stub of the store and the cloud, so that the
 * build can store the loaded classes in a class data archive. The archive reduces the CPU time of a
 * restart, which matters because a controller has only a fraction of a core. Used by the build
 * only.
 */
@Command(name = "warmup", hidden = true, description = "Load the classes of the service and exit.")
final class WarmupCommand implements Callable<Integer> {
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

  /** Maximum number of checks whether the controller has become the leader. */
  private static final int MAX_LEADER_CHECKS = 100;

  private static final long LEADER_CHECK_INTERVAL_MS = 20;

  /** Time to wait for the placement of the submitted job. */
  private static final long PLACEMENT_WAIT_MS = 100;

  /** Maximum number of open connections of each server. */
  private static final int MAX_CONNECTIONS = 100;

  private static final int MAX_IDLE_CONNECTIONS = 16;

  private static final String ANY_PORT_ADDRESS = "127.0.0.1:0";

  @Override
  public Integer call() throws Exception {
    Settings settings = loadSettings();
    if (settings == null) {
      return Main.FAILED;
    }
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    EventLoop eventLoop = group.next();
    NettyLoop loop = new NettyLoop(eventLoop);
    HttpClient client = new HttpClient(eventLoop, MAX_IDLE_CONNECTIONS);
    HttpServer stubServer =
        new HttpServer(eventLoop, loop, MAX_CONNECTIONS, new WarmupStubServer());
    String stubAddress = listen(stubServer);
    ControllerNode controller =
        new ControllerNode(
            loop,
            (address, method, path, body, timeoutS, onReply) ->
                client.call(stubAddress, method, path, body, timeoutS, onReply),
            settings,
            new SplittableRandom(1));
    HttpServer api = new HttpServer(eventLoop, loop, MAX_CONNECTIONS, controller::handle);
    String apiAddress = listen(api);
    loop.execute(controller::start);
    for (int i = 0; i < MAX_LEADER_CHECKS && !isLeader(loop, controller); i++) {
      TimeUnit.MILLISECONDS.sleep(LEADER_CHECK_INTERVAL_MS);
    }
    sendRequests(new TestClient(loop, client, apiAddress));
    loop.execute(controller::close);
    api.close();
    stubServer.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
    return 0;
  }

  /**
   * Reads the settings from a temporary file, so that the TOML parser is loaded; null if the file
   * can't be deleted.
   */
  private static Settings loadSettings() throws IOException, Settings.InvalidSettingsException {
    File file = File.createTempFile("warmup", ".toml");
    Files.writeString(file.toPath(), SETTINGS);
    Settings settings = Settings.load(file.getPath());
    return file.delete() ? settings : null;
  }

  /** Starts a server on a free port and returns its address. */
  private static String listen(HttpServer server) throws InterruptedException {
    Channel channel = server.listen(ANY_PORT_ADDRESS).sync().channel();
    return "127.0.0.1:" + ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /**
   * Sends the requests of the life cycle of a job, so that the classes that handle them are loaded.
   */
  private static void sendRequests(TestClient client) throws InterruptedException {
    client.request("GET", "/ready", null);
    client.request("POST", "/checkin", WarmupStubServer.HEARTBEAT_JSON);
    client.request("POST", "/v1/jobs", WarmupStubServer.JOB_JSON);
    TimeUnit.MILLISECONDS.sleep(PLACEMENT_WAIT_MS);
    client.request("GET", "/v1/jobs/j-000001", null);
    client.request("POST", "/checkin", WarmupStubServer.HEARTBEAT_JSON);
    client.request("POST", "/v1/jobs/j-000001/withdraw", "");
    client.request("GET", "/metrics", null);
  }

  private static boolean isLeader(NettyLoop loop, ControllerNode controller)
      throws InterruptedException {
    AtomicBoolean isLeader = new AtomicBoolean();
    CountDownLatch replied = new CountDownLatch(1);
    loop.execute(
        () -> {
          isLeader.set(controller.core() != null);
          replied.countDown();
        });
    replied.await(1, TimeUnit.SECONDS);
    return isLeader.get();
  }

  /** Sends requests to the controller one at a time. */
  private record TestClient(NettyLoop loop, HttpClient client, String address) {
    /** Waits up to two seconds for the response, which is parsed and discarded. */
    void request(String method, String path, String body) throws InterruptedException {
      CountDownLatch replied = new CountDownLatch(1);
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
                    replied.countDown();
                  }));
      replied.await(2, TimeUnit.SECONDS);
    }
  }
}

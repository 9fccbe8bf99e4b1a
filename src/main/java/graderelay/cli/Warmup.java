package graderelay.cli;

import graderelay.config.Settings;
import graderelay.net.HttpClient;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.net.Reply;
import graderelay.service.ControllerNode;
import graderelay.wire.Json;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;

/**
 * Plays a moment of a controller's life on loopback, so that the build can archive the classes that
 * a start needs. Run by the build; of no use to operators.
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

  @Override
  public Integer call() throws Exception {
    java.io.File file = java.io.File.createTempFile("warmup", ".toml");
    java.nio.file.Files.writeString(file.toPath(), SETTINGS);
    Settings s = Settings.load(file.getPath());
    if (!file.delete()) {
      return Main.FAILED;
    }
    var group = new NioEventLoopGroup(1);
    var loop = group.next();
    var clock = new NettyLoop(loop);
    var client = new HttpClient(loop, 16);
    var standIn = new WarmupWorld();
    HttpServer outside = new HttpServer(loop, clock, 100, standIn);
    var bound = outside.listen("127.0.0.1:0").sync().channel();
    String at = "127.0.0.1:" + ((java.net.InetSocketAddress) bound.localAddress()).getPort();
    ControllerNode node =
        new ControllerNode(
            clock,
            (address, method, path, body, timeout, done) ->
                client.call(at, method, path, body, timeout, done),
            s,
            new SplittableRandom(1));
    HttpServer api = new HttpServer(loop, clock, 100, node::handle);
    var apiBound = api.listen("127.0.0.1:0").sync().channel();
    String to = "127.0.0.1:" + ((java.net.InetSocketAddress) apiBound.localAddress()).getPort();
    clock.execute(node::start);
    for (int i = 0; i < 100 && !owns(clock, node); i++) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    ask(client, clock, to, "GET", "/ready", null);
    ask(client, clock, to, "POST", "/checkin", WarmupWorld.REPORT);
    ask(client, clock, to, "POST", "/v1/jobs", WarmupWorld.JOB);
    TimeUnit.MILLISECONDS.sleep(100);
    ask(client, clock, to, "GET", "/v1/jobs/j-000001", null);
    ask(client, clock, to, "POST", "/checkin", WarmupWorld.REPORT);
    ask(client, clock, to, "POST", "/v1/jobs/j-000001/withdraw", "");
    ask(client, clock, to, "GET", "/metrics", null);
    clock.execute(node::close);
    api.close();
    outside.close();
    group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).sync();
    return 0;
  }

  private static boolean owns(NettyLoop clock, ControllerNode node) throws InterruptedException {
    boolean[] owns = {false};
    CountDownLatch latch = new CountDownLatch(1);
    clock.execute(
        () -> {
          owns[0] = node.core() != null;
          latch.countDown();
        });
    latch.await(1, TimeUnit.SECONDS);
    return owns[0];
  }

  private static void ask(
      HttpClient client, NettyLoop clock, String to, String method, String path, String body)
      throws InterruptedException {
    CountDownLatch latch = new CountDownLatch(1);
    byte[] bytes = body == null ? null : body.getBytes(StandardCharsets.UTF_8);
    clock.execute(
        () ->
            client.call(
                to,
                method,
                path,
                bytes,
                1,
                (Reply r) -> {
                  Json.read(r.body());
                  latch.countDown();
                }));
    latch.await(2, TimeUnit.SECONDS);
  }
}

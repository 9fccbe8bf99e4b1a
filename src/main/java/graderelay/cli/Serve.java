package graderelay.cli;

import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.net.HttpClient;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.service.Node;
import io.netty.channel.nio.NioEventLoopGroup;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a controller until it is killed. */
@Command(name = "serve", description = "Run a controller.", mixinStandardHelpOptions = true)
final class Serve implements Callable<Integer> {
  /** Not an exit code: the service goes on after the command line is done. */
  static final int RUNNING = -1;

  @Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file")
  private String file;

  @Override
  public Integer call() {
    return run(file);
  }

  /** Runs a controller with the settings of a file; the exit code, or that it goes on. */
  static int run(String file) {
    Settings s;
    try {
      s = Settings.load(file);
    } catch (Settings.Wrong e) {
      System.err.println("graderelay: " + file + ": " + e.getMessage());
      return Main.USAGE;
    }
    return start(s) ? RUNNING : Main.FAILED;
  }

  /** Starts a node on its sockets; false if an address can't be had. */
  private static boolean start(Settings s) {
    var group = new NioEventLoopGroup(1);
    var loop = group.next();
    var clock = new NettyLoop(loop);
    byte[] seed = new SecureRandom().generateSeed(8);
    var random = new SplittableRandom(java.nio.ByteBuffer.wrap(seed).getLong());
    var client = new HttpClient(loop, (int) (s.maxConnections() * Constants.IDLE_LINES_SHARE));
    Node node = new Node(clock, client, s, random);
    int most = (int) (s.maxConnections() * Constants.ACCEPT_SHARE);
    HttpServer api = new HttpServer(loop, clock, most, node::handle);
    HttpServer mesh = new HttpServer(loop, clock, s.maxConnections(), node::handleMesh);
    try {
      api.listen(s.apiAddress()).sync();
      mesh.listen(s.meshAddress()).sync();
    } catch (Exception e) {
      LoggerFactory.getLogger("serve").error("an address can't be had: {}", e.getMessage());
      return false;
    }
    node.watchConnections(() -> api.connections() + mesh.connections(), client::connections);
    clock.execute(node::start);
    return true;
  }
}

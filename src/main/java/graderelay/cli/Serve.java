package graderelay.cli;

import graderelay.config.Options;
import graderelay.config.Settings;
import graderelay.net.HttpClient;
import graderelay.net.HttpServer;
import graderelay.net.NettyLoop;
import graderelay.service.ControllerNode;
import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.slf4j.LoggerFactory;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a controller until it is killed. */
@Command(name = "serve", description = "Run a controller.", mixinStandardHelpOptions = true)
final class Serve implements Callable<Integer> {
  /**
   * Share of the allowed connections that users and workers may have: the rest is for the key-value
   * store, the other controllers and direct worker commands, also when all workers connect at once.
   */
  private static final double ACCEPT_SHARE = 0.9;

  /** Share of the allowed connections that idle ones to the outside may take. */
  private static final double IDLE_CONNECTIONS_SHARE = 0.06;

  /** Not an exit code: the service goes on after the command line is done. */
  static final int RUNNING = -1;

  @Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file")
  private String file;

  @Option(
      names = "--options",
      paramLabel = "FILE",
      description = "what to switch on beside the settings, like deploy/options.toml")
  private String optionsFile;

  @Override
  public Integer call() {
    return run(file, optionsFile);
  }

  /**
   * Runs a controller with the settings of a file; returns the exit code, or {@link #RUNNING} if it
   * goes on.
   *
   * @param optionsFile may be null
   */
  static int run(String file, String optionsFile) {
    String reading = file;
    Settings settings;
    Options options;
    try {
      settings = Settings.load(file);
      reading = optionsFile;
      options = optionsFile == null ? Options.none() : Options.load(optionsFile);
    } catch (Settings.Wrong e) {
      System.err.println("graderelay: " + reading + ": " + e.getMessage());
      return Main.USAGE;
    }
    return start(settings, options) ? RUNNING : Main.FAILED;
  }

  /** The cluster has gone on without this process: it ends with a message and a code. */
  private static void leave(String why) {
    System.err.println("graderelay: this controller leaves: " + why);
    System.exit(Main.LEFT);
  }

  /** Starts a controller on its sockets; false if an address can't be had. */
  private static boolean start(Settings settings, Options options) {
    var group = new NioEventLoopGroup(1);
    var loop = group.next();
    var clock = new NettyLoop(loop);
    byte[] seed = new SecureRandom().generateSeed(8);
    var random = new SplittableRandom(ByteBuffer.wrap(seed).getLong());
    var client = new HttpClient(loop, (int) (settings.maxConnections() * IDLE_CONNECTIONS_SHARE));
    ControllerNode controller = new ControllerNode(clock, client, settings, options, random);
    controller.onShutdownRequested(Serve::leave);
    int mostAccepted = (int) (settings.maxConnections() * ACCEPT_SHARE);
    HttpServer api = new HttpServer(loop, clock, mostAccepted, controller::handle);
    HttpServer peerServer =
        new HttpServer(loop, clock, settings.maxConnections(), controller::handlePeer);
    try {
      api.listen(settings.apiAddress()).sync();
      peerServer.listen(settings.peerAddress()).sync();
    } catch (Exception e) {
      LoggerFactory.getLogger("serve").error("an address can't be had: {}", e.getMessage());
      return false;
    }
    controller.registerConnectionGauges(
        () -> api.connections() + peerServer.connections(), client::connections);
    clock.execute(controller::start);
    return true;
  }
}

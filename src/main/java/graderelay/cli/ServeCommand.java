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

/** Runs a controller until the process is terminated. */
@Command(name = "serve", description = "Run a controller.", mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
  /**
   * Share of the allowed connections that the API server may accept from users and workers. The
   * rest is reserved for the key-value store, the other controllers and direct worker commands,
   * even if all workers connect at once.
   */
  private static final double ACCEPTED_CONNECTIONS_SHARE = 0.9;

  /** Share of the allowed connections that idle outgoing connections may use. */
  private static final double IDLE_CONNECTIONS_SHARE = 0.06;

  /** Not an exit code: the controller keeps running after the command has returned. */
  static final int RUNNING = -1;

  @Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file")
  private String settingsFile;

  @Option(
      names = "--options",
      paramLabel = "FILE",
      description = "options file that enables additional features, like deploy/options.toml")
  private String optionsFile;

  @Override
  public Integer call() {
    return run(settingsFile, optionsFile);
  }

  /**
   * Starts a controller with the settings of a file. Returns the exit code, or {@link #RUNNING} if
   * the controller has been started.
   *
   * @param optionsFile the options file, or null for the default options
   */
  static int run(String settingsFile, String optionsFile) {
    String currentFile = settingsFile;
    Settings settings;
    Options options;
    try {
      settings = Settings.load(settingsFile);
      currentFile = optionsFile;
      options = optionsFile == null ? Options.defaults() : Options.load(optionsFile);
    } catch (Settings.InvalidSettingsException e) {
      System.err.println("graderelay: " + currentFile + ": " + e.getMessage());
      return Main.USAGE_ERROR;
    }
    return start(settings, options) ? RUNNING : Main.FAILED;
  }

  /** Terminates this process after the controller had to leave the cluster. */
  private static void exitAfterLeaving(String reason) {
    System.err.println("graderelay: this controller leaves: " + reason);
    System.exit(Main.LEFT_CLUSTER);
  }

  /** Starts a controller and its servers; false if an address can't be bound. */
  private static boolean start(Settings settings, Options options) {
    var group = new NioEventLoopGroup(1);
    var loop = group.next();
    var clock = new NettyLoop(loop);
    byte[] seed = new SecureRandom().generateSeed(8);
    var random = new SplittableRandom(ByteBuffer.wrap(seed).getLong());
    var client = new HttpClient(loop, (int) (settings.maxConnections() * IDLE_CONNECTIONS_SHARE));
    ControllerNode controller = new ControllerNode(clock, client, settings, options, random);
    controller.onShutdownRequested(ServeCommand::exitAfterLeaving);
    int maxAccepted = (int) (settings.maxConnections() * ACCEPTED_CONNECTIONS_SHARE);
    HttpServer api = new HttpServer(loop, clock, maxAccepted, controller::handle);
    HttpServer peerServer =
        new HttpServer(loop, clock, settings.maxConnections(), controller::handlePeer);
    try {
      api.listen(settings.apiAddress()).sync();
      peerServer.listen(settings.peerAddress()).sync();
    } catch (Exception e) {
      LoggerFactory.getLogger("serve").error("failed to bind a listen address: {}", e.getMessage());
      return false;
    }
    controller.registerConnectionGauges(
        () -> api.openConnections() + peerServer.openConnections(), client::openConnections);
    clock.execute(controller::start);
    return true;
  }
}

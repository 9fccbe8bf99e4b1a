package graderelay.cli;

import graderelay.config.Logging;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The command line: runs a controller, or a client command against a running one. */
@Command(
    name = "graderelay",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A cluster scheduler for job arrays and services.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:success",
      "1:the service failed, or the command was interrupted",
      "2:invalid usage or invalid settings; the message names the field",
      "3:the server can't be reached",
      "4:the server refused the request",
      "5:the server is temporarily unavailable; try again later",
      "6:this controller has left the cluster; the message gives the reason"
    },
    subcommands = {
      ServeCommand.class,
      CheckCommand.class,
      StatusCommand.class,
      JobsCommand.class,
      SubmitCommand.class,
      CancelCommand.class,
      MachinesCommand.class,
      SettingsCommand.class,
      FeaturesCommand.class,
      QuotaCommand.class,
      WarmupCommand.class
    })
public final class Main implements Runnable {
  /** The service failed, or the command was interrupted. */
  static final int FAILED = 1;

  /** Invalid usage or invalid settings. */
  static final int USAGE_ERROR = 2;

  /** The server can't be reached. */
  static final int UNREACHABLE = 3;

  /** The server refused the request. */
  static final int REFUSED = 4;

  /** The server is temporarily unavailable. */
  static final int UNAVAILABLE = 5;

  /** This controller had to leave the cluster. */
  static final int LEFT_CLUSTER = 6;

  private Main() {}

  /**
   * Runs a command and exits with its code, unless the command has started a controller that keeps
   * running.
   */
  public static void main(String[] args) {
    String level = System.getenv("LOG_LEVEL");
    Logging.configure(level);
    // The platform's own command lines bypass picocli: its classes can't be stored in the class
    // data archive, and loading them would add a large part of a second to every restart on a small
    // machine.
    int code = ServeCommand.RUNNING;
    if (args.length == 3 && args[0].equals("serve") && args[1].equals("--config")) {
      code = ServeCommand.run(args[2], null);
    } else if (args.length == 5
        && args[0].equals("serve")
        && args[1].equals("--options")
        && args[3].equals("--config")) {
      code = ServeCommand.run(args[4], args[2]);
    } else {
      code = new CommandLine(new Main()).execute(args);
    }
    if (code != ServeCommand.RUNNING) {
      System.exit(code);
    }
  }

  @Override
  public void run() {
    CommandLine.usage(this, System.out);
  }

  /** Provides the version from the manifest of the jar. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"graderelay " + (version == null ? "(not from a jar)" : version)};
    }
  }
}

package graderelay.cli;

import graderelay.config.Logs;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program: the service itself, and the operators' tools for it. */
@Command(
    name = "graderelay",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A cluster scheduler for task arrays and standing services.",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:done",
      "1:the service failed",
      "2:wrong usage or wrong settings; the message names the field",
      "3:the server can't be reached",
      "4:the server refused the request",
      "5:the server can't take the request now; try again later",
      "6:the cluster has gone on without this controller; the message says why"
    },
    subcommands = {
      Serve.class,
      Check.class,
      StatusTool.class,
      JobsTool.class,
      SubmitTool.class,
      CancelTool.class,
      MachinesTool.class,
      SettingsTool.class,
      FeaturesTool.class,
      QuotaTool.class,
      Warmup.class
    })
public final class Main implements Runnable {
  /** The service failed, or the tool was interrupted. */
  static final int FAILED = 1;

  /** Wrong usage or wrong settings. */
  static final int USAGE = 2;

  /** The server can't be reached. */
  static final int UNREACHABLE = 3;

  /** The server refused the request. */
  static final int REFUSED = 4;

  /** The server can't take the request now. */
  static final int UNAVAILABLE = 5;

  /** The cluster has gone on without this controller. */
  static final int LEFT = 6;

  private Main() {}

  /** Runs a command and exits with its code, unless a controller goes on running. */
  public static void main(String[] args) {
    String level = System.getenv("LOG_LEVEL");
    Logs.start(level);
    // The platform's own calls bypass the argument parser: its classes can't be archived and would
    // cost every restart a good part of a second on a small machine.
    int code = Serve.RUNNING;
    if (args.length == 3 && args[0].equals("serve") && args[1].equals("--config")) {
      code = Serve.run(args[2], null);
    } else if (args.length == 5
        && args[0].equals("serve")
        && args[1].equals("--options")
        && args[3].equals("--config")) {
      code = Serve.run(args[4], args[2]);
    } else {
      code = new CommandLine(new Main()).execute(args);
    }
    if (code != Serve.RUNNING) {
      System.exit(code);
    }
  }

  @Override
  public void run() {
    CommandLine.usage(this, System.out);
  }

  /** The version that the jar was built as. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Main.class.getPackage().getImplementationVersion();
      return new String[] {"graderelay " + (version == null ? "(not from a jar)" : version)};
    }
  }
}

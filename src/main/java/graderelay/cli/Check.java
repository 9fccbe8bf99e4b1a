package graderelay.cli;

import graderelay.config.Settings;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Checks a settings file. */
@Command(name = "check", description = "Check a settings file.", mixinStandardHelpOptions = true)
final class Check implements Callable<Integer> {
  @Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file")
  private String file;

  @Override
  public Integer call() {
    try {
      Settings settings = Settings.load(file);
      System.out.println(
          file
              + ": good; "
              + settings.member()
              + " in "
              + settings.zone()
              + ", "
              + settings.peers().size()
              + " peers, "
              + settings.teams().size()
              + " teams");
      return 0;
    } catch (Settings.Wrong e) {
      System.err.println("graderelay: " + file + ": " + e.getMessage());
      return Main.USAGE;
    }
  }
}

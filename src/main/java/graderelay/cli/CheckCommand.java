package graderelay.cli;

import graderelay.config.Settings;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Validates a settings file. */
@Command(name = "check", description = "Check a settings file.", mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Option(names = "--config", required = true, paramLabel = "FILE", description = "settings file")
  private String settingsFile;

  @Override
  public Integer call() {
    try {
      Settings settings = Settings.load(settingsFile);
      System.out.println(
          settingsFile
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
    } catch (Settings.InvalidSettingsException e) {
      System.err.println("graderelay: " + settingsFile + ": " + e.getMessage());
      return Main.USAGE_ERROR;
    }
  }
}

package graderelay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.cli.LocalDeployment.CommandResult;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the commands as processes against three controllers on loopback, with a chain of three jobs.
 */
class CommandLineTest {
  private static final int MAX_ATTEMPTS = 40;

  @TempDir Path folder;

  private Path writeJobFile(String id) throws Exception {
    Path file = folder.resolve(id + ".json");
    Files.writeString(
        file,
        """
        {"ref":"%s","lot":"batch","crew":"team","cut":"array","urgency":"normal","boards":2,
         "cpus":1.0,"cards":0.0,"mem_gb":1.0,"blade":"i","pull_gb":1.0,"rigs":null,"yard":null,
         "one_zone":false,"apart":false,"borrowed":true,"expected_s":5.0,"stack_s":0.0,
         "stack_write_s":0.0,"ship_s":null}\
        """
            .formatted(id));
    return file;
  }

  private static CommandResult submit(
      LocalDeployment deployment, int controller, Path jobFile, String... dependencies)
      throws Exception {
    String[] allArguments = new String[4 + dependencies.length * 2];
    allArguments[0] = "submit";
    allArguments[1] = jobFile.toString();
    allArguments[2] = "--server";
    allArguments[3] = deployment.address(controller);
    for (int i = 0; i < dependencies.length; i++) {
      allArguments[4 + 2 * i] = "--needs";
      allArguments[5 + 2 * i] = dependencies[i];
    }
    return deployment.run(allArguments);
  }

  private static CommandResult runAgainst(
      LocalDeployment deployment, int controller, String... arguments) throws Exception {
    String[] allArguments = java.util.Arrays.copyOf(arguments, arguments.length + 2);
    allArguments[arguments.length] = "--server";
    allArguments[arguments.length + 1] = deployment.address(controller);
    return deployment.run(allArguments);
  }

  /** Waits until all controllers serve requests, which they do a short time after their start. */
  private static void waitUntilServing(LocalDeployment deployment) throws Exception {
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      boolean serving = true;
      for (int controller = 0; controller < 3; controller++) {
        CommandResult status = runAgainst(deployment, controller, "status");
        serving &= status.exitCode() == 0 && status.standardOutput().contains("m-");
      }
      if (serving) {
        return;
      }
    }
    throw new AssertionError("the controllers do not serve requests");
  }

  /** Polls a job until the output of the jobs command contains the expected text. */
  private static void awaitJobOutput(
      LocalDeployment deployment, int controller, String jobId, String expected) throws Exception {
    CommandResult result = null;
    for (int i = 0; i < MAX_ATTEMPTS; i++) {
      result = runAgainst(deployment, controller, "jobs", jobId);
      if (result.exitCode() == 0 && result.standardOutput().contains(expected)) {
        return;
      }
    }
    throw new AssertionError(jobId + ": " + result);
  }

  @Test
  void cancellingTheFirstJobOfChainCancelsAllOfItsDependents() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 3)) {
      waitUntilServing(deployment);
      assertThat(submit(deployment, 0, writeJobFile("j-000001")).standardOutput())
          .contains("j-000001 pending");
      assertThat(submit(deployment, 1, writeJobFile("j-000002"), "j-000001").standardOutput())
          .contains("j-000002 pending");
      CommandResult last = submit(deployment, 2, writeJobFile("j-000003"), "j-000002", "j-000001");
      assertThat(last.standardOutput()).contains("j-000003 pending");
      assertThat(last.exitCode()).isZero();
      awaitJobOutput(deployment, 0, "j-000003", "[\"j-000002\",\"j-000001\"]");
      awaitJobOutput(deployment, 1, "j-000001", "[\"j-000002\",\"j-000003\"]");

      CommandResult unknown = submit(deployment, 0, writeJobFile("j-000004"), "j-999999");
      assertThat(unknown.exitCode()).isEqualTo(Main.REFUSED);
      assertThat(unknown.standardError())
          .contains("422")
          .contains("j-999999")
          .contains("never accepted");
      Path malformed = writeJobFile("j-000005");
      Files.writeString(
          malformed, Files.readString(malformed).replaceFirst("\\{", "{\"awaits\":\"j-000001\","));
      CommandResult malformedDependencies = submit(deployment, 0, malformed, "j-000002");
      assertThat(malformedDependencies.exitCode()).isEqualTo(Main.REFUSED);
      assertThat(malformedDependencies.standardError())
          .contains("400")
          .contains("awaits")
          .contains("list");

      CommandResult cancelled = runAgainst(deployment, 1, "cancel", "j-000001");
      assertThat(cancelled.standardOutput()).contains("j-000001 cancelled");
      awaitJobOutput(deployment, 0, "j-000003", "cancelled");
      awaitJobOutput(deployment, 1, "j-000002", "cancelled");
      awaitJobOutput(deployment, 2, "j-000001", "cancelled");
      assertThat(
              submit(deployment, 2, writeJobFile("j-000003"), "j-000002", "j-000001")
                  .standardOutput())
          .contains("j-000003 cancelled");
      assertThat(runAgainst(deployment, 0, "jobs", "j-000004").exitCode()).isEqualTo(Main.REFUSED);
    }
  }

  @Test
  void unreachableControllerIsReportedWithItsAddressAndExitCode() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 0)) {
      CommandResult outcome = deployment.run("status", "--server", "127.0.0.1:1");
      assertThat(outcome.exitCode()).isEqualTo(Main.UNREACHABLE);
      assertThat(outcome.standardError()).contains("127.0.0.1:1").contains("can't be reached");
    }
  }
}

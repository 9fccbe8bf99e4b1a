package graderelay.cli;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.cli.LocalDeployment.Outcome;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The command line as a new user meets it: processes, real sockets, a chain of three jobs. */
class CommandLineTest {
  private static final int TRIES = 40;

  @TempDir Path folder;

  private Path job(String id) throws Exception {
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

  private static Outcome submit(
      LocalDeployment deployment, int controller, Path file, String... needs) throws Exception {
    String[] arguments = new String[4 + needs.length * 2];
    arguments[0] = "submit";
    arguments[1] = file.toString();
    arguments[2] = "--server";
    arguments[3] = deployment.address(controller);
    for (int i = 0; i < needs.length; i++) {
      arguments[4 + 2 * i] = "--needs";
      arguments[5 + 2 * i] = needs[i];
    }
    return deployment.run(arguments);
  }

  private static Outcome ask(LocalDeployment deployment, int controller, String... arguments)
      throws Exception {
    String[] all = java.util.Arrays.copyOf(arguments, arguments.length + 2);
    all[arguments.length] = "--server";
    all[arguments.length + 1] = deployment.address(controller);
    return deployment.run(all);
  }

  /** Controllers take requests some moments after their start. */
  private static void waitUntilServing(LocalDeployment deployment) throws Exception {
    for (int i = 0; i < TRIES; i++) {
      boolean serving = true;
      for (int controller = 0; controller < 3; controller++) {
        Outcome status = ask(deployment, controller, "status");
        serving &= status.code() == 0 && status.out().contains("m-");
      }
      if (serving) {
        return;
      }
    }
    throw new AssertionError("the controllers do not serve");
  }

  /** Asks until the answer has these words, as a user does who watches a job. */
  private static void watch(LocalDeployment deployment, int controller, String job, String words)
      throws Exception {
    Outcome outcome = null;
    for (int i = 0; i < TRIES; i++) {
      outcome = ask(deployment, controller, "jobs", job);
      if (outcome.code() == 0 && outcome.out().contains(words)) {
        return;
      }
    }
    throw new AssertionError(job + ": " + outcome);
  }

  @Test
  void chainIsSubmittedWatchedAndCancelledAsOneWhole() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 3)) {
      waitUntilServing(deployment);
      assertThat(submit(deployment, 0, job("j-000001")).out()).contains("j-000001 pending");
      assertThat(submit(deployment, 1, job("j-000002"), "j-000001").out())
          .contains("j-000002 pending");
      Outcome last = submit(deployment, 2, job("j-000003"), "j-000002", "j-000001");
      assertThat(last.out()).contains("j-000003 pending");
      assertThat(last.code()).isZero();
      watch(deployment, 0, "j-000003", "[\"j-000002\",\"j-000001\"]");
      watch(deployment, 1, "j-000001", "[\"j-000002\",\"j-000003\"]");

      Outcome unknown = submit(deployment, 0, job("j-000004"), "j-999999");
      assertThat(unknown.code()).isEqualTo(Main.REFUSED);
      assertThat(unknown.err()).contains("422").contains("j-999999").contains("never accepted");
      Path malformed = job("j-000005");
      Files.writeString(
          malformed, Files.readString(malformed).replaceFirst("\\{", "{\"awaits\":\"j-000001\","));
      Outcome noList = submit(deployment, 0, malformed, "j-000002");
      assertThat(noList.code()).isEqualTo(Main.REFUSED);
      assertThat(noList.err()).contains("400").contains("awaits").contains("list");

      Outcome cancelled = ask(deployment, 1, "cancel", "j-000001");
      assertThat(cancelled.out()).contains("j-000001 cancelled");
      watch(deployment, 0, "j-000003", "cancelled");
      watch(deployment, 1, "j-000002", "cancelled");
      watch(deployment, 2, "j-000001", "cancelled");
      assertThat(submit(deployment, 2, job("j-000003"), "j-000002", "j-000001").out())
          .contains("j-000003 cancelled");
      assertThat(ask(deployment, 0, "jobs", "j-000004").code()).isEqualTo(Main.REFUSED);
    }
  }

  @Test
  void unreachableControllerIsReportedToTheUser() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 0)) {
      Outcome outcome = deployment.run("status", "--server", "127.0.0.1:1");
      assertThat(outcome.code()).isEqualTo(Main.UNREACHABLE);
      assertThat(outcome.err()).contains("127.0.0.1:1").contains("can't be reached");
    }
  }
}

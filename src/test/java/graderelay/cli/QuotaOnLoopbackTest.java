package graderelay.cli;

import static graderelay.cli.LocalDeployment.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three controllers as processes with stored team limits. Guards against a team exceeding its
 * limit after the leader was killed, and checks the quota command.
 */
class QuotaOnLoopbackTest {
  private static final String OPTIONS = "[features]\nmax_level = \"stored-limits\"\nsoak_s = 1\n";
  private static final int CPU_LIMIT = 12;
  private static final int MACHINES = 8;
  private static final int MAX_POLL_ROUNDS = 1500;

  @TempDir Path folder;

  private static LocalDeployment.CommandResult quota(
      LocalDeployment deployment, int controller, String... arguments) throws Exception {
    String[] allArguments = new String[arguments.length + 3];
    allArguments[0] = "quota";
    System.arraycopy(arguments, 0, allArguments, 1, arguments.length);
    allArguments[allArguments.length - 2] = "--server";
    allArguments[allArguments.length - 1] = deployment.address(controller);
    return deployment.run(allArguments);
  }

  /** Returns the index of the leader, or -1 if there is none. */
  private static int leader(LocalDeployment deployment) throws Exception {
    for (int i = 0; i < 3; i++) {
      var status = deployment.run("status", "--server", deployment.address(i), "--json");
      if (status.exitCode() == 0) {
        String leader =
            Json.read(status.standardOutput().getBytes(StandardCharsets.UTF_8))
                .path("owner")
                .asText();
        return leader.startsWith("m-") ? Integer.parseInt(leader.substring(2)) : -1;
      }
    }
    return -1;
  }

  private static void assertRefused(LocalDeployment.CommandResult result, String message) {
    assertThat(result.standardError()).contains(message);
    assertThat(result.exitCode()).isEqualTo(Main.REFUSED);
  }

  @Test
  void usageStaysWithinTheLimitAcrossLeaderLossAndLimitChanges() throws Exception {
    try (LocalDeployment deployment =
        new LocalDeployment(folder, 3, MACHINES, OPTIONS, CPU_LIMIT)) {
      eventually("limits are stored", () -> deployment.stored(QuotaCodec.SEEDED) != null);
      UserSimulator user = new UserSimulator(3, deployment::address);
      Thread userThread = new Thread(user);
      userThread.start();
      eventually("the limit is reached", () -> deployment.fleet().maxRunning() >= CPU_LIMIT - 1);
      int leader = leader(deployment);
      deployment.kill(leader);
      eventually(
          "another controller is the leader",
          () -> leader(deployment) >= 0 && leader(deployment) != leader);
      deployment.start(leader, OPTIONS);
      user.stop();
      userThread.join();
      assertThat(deployment.fleet().maxRunning()).isLessThanOrEqualTo(CPU_LIMIT);
      eventually(
          "the leader shows the team", () -> quota(deployment, leader, "team").exitCode() == 0);
      checkLimitChanges(deployment, (leader + 1) % 3);
      assertThat(user.awaitAllFinished(MAX_POLL_ROUNDS))
          .as(user.unfinishedJobs().toString())
          .isTrue();
      System.out.printf(
          "stored limits on loopback: at most %d of %d CPUs at once, %d jobs accepted%n",
          deployment.fleet().maxRunning(), CPU_LIMIT, user.acceptedCount());
      assertThat(deployment.fleet().maxRunning()).isLessThanOrEqualTo(CPU_LIMIT);
      assertThat(user.acceptedCount()).isGreaterThan(20);
      assertThat(user.violations()).isEmpty();
      assertThat(deployment.fleet().violations()).isEmpty();
    }
  }

  private static void checkLimitChanges(LocalDeployment deployment, int controller)
      throws Exception {
    assertRefused(quota(deployment, controller, "team", "--set", "cpus-max=-1"), "cpus_max");
    assertRefused(quota(deployment, controller, "team", "--set", "cpus-max=many"), "cpus_max");
    assertRefused(quota(deployment, controller, "team", "--set", "gpus=0.12345"), "gpus");
    assertRefused(
        quota(deployment, controller, "team", "--set", "cpus=20"), "cpus is 20.0, above cpus_max");
    assertRefused(quota(deployment, controller, "team", "--set", "colour=1"), "colour");
    assertRefused(
        quota(deployment, controller, "nobody", "--set", "cpus=1"), "team nobody is not known");
    assertRefused(quota(deployment, controller, "nobody"), "team nobody is not known");
    assertRefused(
        quota(deployment, controller, "team", "--set", "cpus=1", "--if-version", "1"),
        "have changed since");
    assertThat(quota(deployment, controller, "--set", "cpus=1").exitCode())
        .isEqualTo(Main.USAGE_ERROR);
    var changed = quota(deployment, controller, "team", "--set", "cpus=2", "--set", "cpus-max=6.5");
    assertThat(changed.exitCode()).as(changed.standardError()).isZero();
    assertThat(quota(deployment, controller).standardOutput())
        .contains("team")
        .contains("6.5")
        .contains("warning: team team");
    var shown = quota(deployment, controller, "team", "--json");
    var team =
        Json.read(shown.standardOutput().getBytes(StandardCharsets.UTF_8)).path("teams").path(0);
    assertThat(team.path("cpus_max").asDouble()).isEqualTo(6.5);
    assertThat(team.path("version").asLong()).isPositive();
    assertThat(team.path("changed_by").asText()).isEqualTo(System.getProperty("user.name"));
  }
}

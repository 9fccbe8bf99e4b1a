package graderelay.cli;

import static graderelay.cli.LocalDeployment.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs three controllers as processes and upgrades them one after the other while a user keeps
 * submitting jobs.
 */
class UpgradeOnLoopbackTest {
  private static final String OLD_OPTIONS = "[features]\nmax_level = 0\nsoak_s = 2\n";
  private static final String NEW_OPTIONS = "[features]\nmax_level = 2\nsoak_s = 2\n";
  private static final int MAX_POLL_ROUNDS = 400;
  private static final int MACHINES = 8;

  @TempDir Path folder;

  private static boolean isReady(LocalDeployment deployment, int controller) throws Exception {
    var status = deployment.run("status", "--server", deployment.address(controller), "--json");
    return status.exitCode() == 0
        && status.standardOutput().contains("\"ready\" : true")
        && !status.standardOutput().contains("\"owner\" : null");
  }

  private static int storedLevel(LocalDeployment deployment) throws Exception {
    JsonNode record = deployment.stored(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  @Test
  void noJobIsLostOrRunTwiceDuringRollingUpgrade() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 3, MACHINES, OLD_OPTIONS)) {
      for (int i = 0; i < 3; i++) {
        int controller = i;
        eventually("m-" + i + " is ready", () -> isReady(deployment, controller));
      }
      UserSimulator user = new UserSimulator(3, deployment::address);
      Thread userThread = new Thread(user);
      userThread.start();
      for (int i = 0; i < 3; i++) {
        assertThat(storedLevel(deployment)).isZero();
        deployment.kill(i);
        deployment.start(i, NEW_OPTIONS);
        int controller = i;
        eventually("m-" + i + " is ready", () -> isReady(deployment, controller));
      }
      long upgradedAtNanos = System.nanoTime();
      eventually("the level is finalized", () -> storedLevel(deployment) == 2);
      final double seconds = (System.nanoTime() - upgradedAtNanos) / 1e9;
      TimeUnit.SECONDS.sleep(2);
      user.stop();
      userThread.join();
      assertThat(user.awaitAllFinished(MAX_POLL_ROUNDS))
          .as(user.unfinishedJobs().toString())
          .isTrue();
      System.out.printf(
          "upgraded under load: finalized after %.1f s, %d accepted, %d refused, %d late%n",
          seconds, user.acceptedCount(), user.refusedCount(), user.lateCount());
      assertThat(user.acceptedCount()).isGreaterThan(20);
      assertThat(user.violations()).isEmpty();
      assertThat(deployment.fleet().violations()).isEmpty();
      for (String job : user.doneJobs()) {
        assertThat(deployment.fleet().completedTasks()).contains(job + "/0", job + "/1");
      }
      var result = deployment.run("features", "--server", deployment.address(0));
      assertThat(result.exitCode()).isZero();
      assertThat(result.standardOutput()).contains("compact-hints").contains("m-2");
    }
  }

  @Test
  void suspendedControllerExitsWhenResumedAfterTheUpgrade() throws Exception {
    try (LocalDeployment deployment = new LocalDeployment(folder, 3, MACHINES, OLD_OPTIONS)) {
      for (int i = 0; i < 3; i++) {
        int controller = i;
        eventually("m-" + i + " is ready", () -> isReady(deployment, controller));
      }
      Process suspended = deployment.process(2);
      LocalDeployment.signal(suspended, "STOP");
      // The suspended process keeps its sockets, so its replacement needs other addresses.
      deployment.changeAddresses(2);
      for (int i = 0; i < 3; i++) {
        if (i < 2) {
          deployment.kill(i);
        }
        deployment.start(i, NEW_OPTIONS);
        int controller = i;
        eventually("m-" + i + " is ready", () -> isReady(deployment, controller));
      }
      eventually("the level is finalized", () -> storedLevel(deployment) == 2);
      LocalDeployment.signal(suspended, "CONT");
      assertThat(suspended.waitFor(30, TimeUnit.SECONDS)).isTrue();
      assertThat(suspended.exitValue()).isEqualTo(Main.LEFT_CLUSTER);
      assertThat(deployment.standardError(2, 2)).contains("this controller leaves");
      assertThat(isReady(deployment, 0)).isTrue();

      // An older program that replaces a newer one reports why it does not take part.
      deployment.kill(1);
      deployment.start(1, OLD_OPTIONS);
      eventually(
          "m-1 reports why it does not take part",
          () -> {
            var result = deployment.run("features", "--server", deployment.address(1));
            return result.exitCode() == 0
                && result.standardOutput().contains("this program supports 0 to 0");
          });
      assertThat(deployment.process(1).isAlive()).isTrue();
    }
  }

  @Test
  void invalidOptionsAreRejectedWithTheFieldNamed() throws Exception {
    String[][] cases = {
      {"[features]\nmin_level = 2\nmax_level = 1\n", "features.min_level is 2, above"},
      {"[features]\nmax_level = \"telepathy\"\n", "telepathy is not a feature"},
      {"[features]\nmax_level = 9\n", "features.max_level must be a feature level from 0 to 3"},
      {"[features]\nsoak_s = -1\n", "features.soak_s must be a number"},
      {"[features]\nfinalise = \"manual\"\n", "features.finalise is not known"},
      {"[features]\nfinalize = \"never\"\n", "features.finalize must be"},
      {"features = 1\n", "features must be a table"},
    };
    try (LocalDeployment deployment = new LocalDeployment(folder, 1, 0, OLD_OPTIONS)) {
      for (int i = 0; i < cases.length; i++) {
        deployment.kill(0);
        deployment.start(0, cases[i][0]);
        assertThat(deployment.process(0).waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(deployment.process(0).exitValue()).isEqualTo(Main.USAGE_ERROR);
        assertThat(deployment.standardError(0, i + 1)).contains(cases[i][1]);
      }
    }
  }
}

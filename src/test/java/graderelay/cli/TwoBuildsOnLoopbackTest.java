package graderelay.cli;

import static graderelay.cli.LocalDeployment.eventually;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Controllers of two builds in one cluster on loopback, through leaders of either build, with
 * submissions, cancellations and heartbeats. The system property {@value #OTHER_BUILD} names the
 * jar of the other build; without it the tests are skipped.
 */
class TwoBuildsOnLoopbackTest {
  private static final String OTHER_BUILD = "graderelay.otherBuild";
  private static final int CONTROLLERS = 3;
  private static final int MACHINES = 8;
  private static final int LIMIT_CPUS = 24;
  private static final int POLL_ROUNDS = 400;
  private static final long LOAD_S = 2;

  @TempDir Path folder;

  private static Path otherBuild() {
    String jar = System.getProperty(OTHER_BUILD);
    assumeTrue(
        jar != null, "skipped: -D" + OTHER_BUILD + " does not name the jar of another build");
    Path path = Path.of(jar);
    assertThat(Files.isRegularFile(path)).as("%s is a file", path).isTrue();
    return path;
  }

  private static String options(int maxLevel) {
    return "[features]\nmax_level = " + maxLevel + "\nsoak_s = 1\n";
  }

  private static JsonNode status(LocalDeployment deployment, int controller) throws Exception {
    var status = deployment.run("status", "--server", deployment.address(controller), "--json");
    return status.exitCode() == 0
        ? Json.read(status.standardOutput().getBytes(StandardCharsets.UTF_8))
        : Json.object();
  }

  /** The controller that every ready controller takes for the leader, or -1. */
  private static int leader(LocalDeployment deployment) throws Exception {
    int leader = -1;
    for (int i = 0; i < CONTROLLERS; i++) {
      String member = status(deployment, i).path("owner").asText();
      if (!member.startsWith("m-")) {
        continue;
      }
      int seen = Integer.parseInt(member.substring(2));
      if (leader >= 0 && seen != leader) {
        return -1;
      }
      leader = seen;
    }
    return leader;
  }

  private static void restart(
      LocalDeployment deployment, int controller, Path build, String options) throws Exception {
    deployment.kill(controller);
    deployment.useBuild(controller, build);
    deployment.start(controller, options);
    eventually(
        "m-" + controller + " is ready",
        () -> status(deployment, controller).path("ready").asBoolean());
  }

  /** Restarts all followers from one build, lets them work, and then ends the leader. */
  private static int changeBuildOfLeader(LocalDeployment deployment, Path build, String options)
      throws Exception {
    eventually("a controller leads", () -> leader(deployment) >= 0);
    int old = leader(deployment);
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != old) {
        restart(deployment, i, build, options);
      }
    }
    TimeUnit.SECONDS.sleep(LOAD_S);
    final Path buildOfOldLeader = deployment.usesOtherBuild(old) ? otherBuild() : null;
    deployment.kill(old);
    eventually(
        "another controller leads", () -> leader(deployment) >= 0 && leader(deployment) != old);
    restart(deployment, old, buildOfOldLeader, options);
    TimeUnit.SECONDS.sleep(LOAD_S);
    return leader(deployment);
  }

  private static void changeIdleSeconds(LocalDeployment deployment, Path build, int at, int idleS)
      throws Exception {
    var set =
        deployment.runFrom(
            build, "settings", "--server", deployment.address(at), "--set", "idle_s=" + idleS);
    assertThat(set.exitCode()).as(set.standardError()).isZero();
    for (int i = 0; i < CONTROLLERS; i++) {
      int controller = i;
      eventually(
          "m-" + i + " shows " + idleS,
          () -> {
            var shown =
                deployment.run("settings", "--server", deployment.address(controller), "--json");
            JsonNode values =
                Json.read(shown.standardOutput().getBytes(StandardCharsets.UTF_8)).path("values");
            return values.path("idle_s").asDouble() == idleS;
          });
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 3})
  void noJobIsLostOrRunTwiceWhileLeadersOfEitherBuildFollowEachOther(int maxLevel)
      throws Exception {
    Path other = otherBuild();
    String options = options(maxLevel);
    try (LocalDeployment deployment =
        new LocalDeployment(folder, CONTROLLERS, MACHINES, options, LIMIT_CPUS, other)) {
      eventually("a controller leads", () -> leader(deployment) >= 0);
      eventually(
          "the level is reached",
          () ->
              maxLevel == 0
                  || deployment.stored(FeatureCodec.LEVEL).path("level").asInt() == maxLevel);
      eventually(
          "limits are stored", () -> maxLevel < 3 || deployment.stored(QuotaCodec.SEEDED) != null);
      changeIdleSeconds(deployment, other, 0, 45);
      UserSimulator user = new UserSimulator(CONTROLLERS, deployment::address);
      Thread userThread = new Thread(user);
      userThread.start();
      TimeUnit.SECONDS.sleep(LOAD_S);

      final int underTest = changeBuildOfLeader(deployment, null, options);
      assertThat(deployment.usesOtherBuild(underTest)).as("m-%d leads", underTest).isFalse();
      changeIdleSeconds(deployment, null, underTest, 46);
      final int ofOtherBuild = changeBuildOfLeader(deployment, other, options);
      assertThat(deployment.usesOtherBuild(ofOtherBuild)).as("m-%d leads", ofOtherBuild).isTrue();
      changeIdleSeconds(deployment, other, ofOtherBuild, 47);

      user.stop();
      userThread.join();
      assertThat(user.awaitAllFinished(POLL_ROUNDS)).as(user.unfinishedJobs().toString()).isTrue();
      System.out.printf(
          "two builds, levels up to %d: %d jobs accepted, %d refused, %d done, at most %d CPUs%n",
          maxLevel,
          user.acceptedCount(),
          user.refusedCount(),
          user.doneJobs().size(),
          deployment.fleet().maxRunning());
      assertThat(user.acceptedCount()).isGreaterThan(50);
      assertThat(user.violations()).isEmpty();
      assertThat(deployment.fleet().violations()).isEmpty();
      assertThat(deployment.fleet().maxRunning()).isLessThanOrEqualTo(LIMIT_CPUS);
      for (String job : user.doneJobs()) {
        assertThat(deployment.fleet().completedTasks()).contains(job + "/0", job + "/1");
      }
    }
  }

  @Test
  void eachBuildReadsTheSettingsFileOfTheOther() throws Exception {
    Path other = otherBuild();
    try (LocalDeployment deployment = new LocalDeployment(folder, 1, 0, null, LIMIT_CPUS, other)) {
      eventually("m-0 is ready", () -> status(deployment, 0).path("ready").asBoolean());
      String settings = folder.resolve("m-0.toml").toString();
      var old = deployment.runFrom(other, "check", "--config", settings);
      var underTest = deployment.run("check", "--config", settings);
      assertThat(old.exitCode()).as(old.standardError()).isZero();
      assertThat(underTest.exitCode()).as(underTest.standardError()).isZero();
      assertThat(underTest.standardOutput()).isEqualTo(old.standardOutput());
    }
  }
}

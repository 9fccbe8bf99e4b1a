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

  private static JsonNode status(LocalDeployment d, int controller) throws Exception {
    var status = d.run("status", "--server", d.address(controller), "--json");
    return status.code() == 0
        ? Json.read(status.out().getBytes(StandardCharsets.UTF_8))
        : Json.object();
  }

  /** The controller that every ready controller takes for the leader, or -1. */
  private static int leader(LocalDeployment d) throws Exception {
    int leader = -1;
    for (int i = 0; i < CONTROLLERS; i++) {
      String member = status(d, i).path("owner").asText();
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

  private static void restart(LocalDeployment d, int controller, Path build, String options)
      throws Exception {
    d.kill(controller);
    d.useBuild(controller, build);
    d.start(controller, options);
    eventually(
        "m-" + controller + " is ready", () -> status(d, controller).path("ready").asBoolean());
  }

  /** Restarts all followers from one build, lets them work, and then ends the leader. */
  private static int changeBuildOfLeader(LocalDeployment d, Path build, String options)
      throws Exception {
    eventually("a controller leads", () -> leader(d) >= 0);
    int old = leader(d);
    for (int i = 0; i < CONTROLLERS; i++) {
      if (i != old) {
        restart(d, i, build, options);
      }
    }
    TimeUnit.SECONDS.sleep(LOAD_S);
    final Path buildOfOldLeader = d.usesOtherBuild(old) ? otherBuild() : null;
    d.kill(old);
    eventually("another controller leads", () -> leader(d) >= 0 && leader(d) != old);
    restart(d, old, buildOfOldLeader, options);
    TimeUnit.SECONDS.sleep(LOAD_S);
    return leader(d);
  }

  private static void changeIdleSeconds(LocalDeployment d, Path build, int at, int idleS)
      throws Exception {
    var set = d.runFrom(build, "settings", "--server", d.address(at), "--set", "idle_s=" + idleS);
    assertThat(set.code()).as(set.err()).isZero();
    for (int i = 0; i < CONTROLLERS; i++) {
      int controller = i;
      eventually(
          "m-" + i + " shows " + idleS,
          () -> {
            var shown = d.run("settings", "--server", d.address(controller), "--json");
            JsonNode values =
                Json.read(shown.out().getBytes(StandardCharsets.UTF_8)).path("values");
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
    try (LocalDeployment d =
        new LocalDeployment(folder, CONTROLLERS, MACHINES, options, LIMIT_CPUS, other)) {
      eventually("a controller leads", () -> leader(d) >= 0);
      eventually(
          "the level is reached",
          () -> maxLevel == 0 || d.stored(FeatureCodec.LEVEL).path("level").asInt() == maxLevel);
      eventually("limits are stored", () -> maxLevel < 3 || d.stored(QuotaCodec.SEEDED) != null);
      changeIdleSeconds(d, other, 0, 45);
      History history = new History(CONTROLLERS, d::address);
      Thread user = new Thread(history);
      user.start();
      TimeUnit.SECONDS.sleep(LOAD_S);

      final int underTest = changeBuildOfLeader(d, null, options);
      assertThat(d.usesOtherBuild(underTest)).as("m-%d leads", underTest).isFalse();
      changeIdleSeconds(d, null, underTest, 46);
      final int ofOtherBuild = changeBuildOfLeader(d, other, options);
      assertThat(d.usesOtherBuild(ofOtherBuild)).as("m-%d leads", ofOtherBuild).isTrue();
      changeIdleSeconds(d, other, ofOtherBuild, 47);

      history.stop();
      user.join();
      assertThat(history.settle(POLL_ROUNDS)).as(history.open().toString()).isTrue();
      System.out.printf(
          "two builds, levels up to %d: %d jobs accepted, %d refused, %d done, at most %d CPUs%n",
          maxLevel,
          history.accepted(),
          history.refused(),
          history.doneJobs().size(),
          d.fleet().mostRunning());
      assertThat(history.accepted()).isGreaterThan(50);
      assertThat(history.violations()).isEmpty();
      assertThat(d.fleet().violations()).isEmpty();
      assertThat(d.fleet().mostRunning()).isLessThanOrEqualTo(LIMIT_CPUS);
      for (String job : history.doneJobs()) {
        assertThat(d.fleet().done()).contains(job + "/0", job + "/1");
      }
    }
  }

  @Test
  void eachBuildReadsTheSettingsFileOfTheOther() throws Exception {
    Path other = otherBuild();
    try (LocalDeployment d = new LocalDeployment(folder, 1, 0, null, LIMIT_CPUS, other)) {
      eventually("m-0 is ready", () -> status(d, 0).path("ready").asBoolean());
      String settings = folder.resolve("m-0.toml").toString();
      var old = d.runFrom(other, "check", "--config", settings);
      var underTest = d.run("check", "--config", settings);
      assertThat(old.code()).as(old.err()).isZero();
      assertThat(underTest.code()).as(underTest.err()).isZero();
      assertThat(underTest.out()).isEqualTo(old.out());
    }
  }
}

package graderelay.cli;

import static graderelay.cli.LocalDeployment.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.FeatureCodec;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes on loopback that are upgraded in turn while a user goes on without pause. */
class UpgradeOnLoopbackTest {
  private static final String OLD = "[features]\nmax_level = 0\nsoak_s = 2\n";
  private static final String NEW = "[features]\nmax_level = 2\nsoak_s = 2\n";
  private static final int TRIES = 400;
  private static final int MACHINES = 8;

  @TempDir Path folder;

  private static boolean ready(LocalDeployment d, int controller) throws Exception {
    var status = d.run("status", "--server", d.address(controller), "--json");
    return status.code() == 0
        && status.out().contains("\"ready\" : true")
        && !status.out().contains("\"owner\" : null");
  }

  private static int level(LocalDeployment d) throws Exception {
    JsonNode record = d.stored(FeatureCodec.LEVEL);
    return record == null ? 0 : record.path("level").asInt();
  }

  @Test
  void noJobIsLostOrRunTwiceWhileControllersAreUpgradedInTurn() throws Exception {
    try (LocalDeployment d = new LocalDeployment(folder, 3, MACHINES, OLD)) {
      for (int i = 0; i < 3; i++) {
        int controller = i;
        eventually("m-" + i + " is ready", () -> ready(d, controller));
      }
      History history = new History(3, d::address);
      Thread user = new Thread(history);
      user.start();
      for (int i = 0; i < 3; i++) {
        assertThat(level(d)).isZero();
        d.kill(i);
        d.start(i, NEW);
        int controller = i;
        eventually("m-" + i + " is ready", () -> ready(d, controller));
      }
      long replaced = System.nanoTime();
      eventually("the level is finalized", () -> level(d) == 2);
      final double seconds = (System.nanoTime() - replaced) / 1e9;
      TimeUnit.SECONDS.sleep(2);
      history.stop();
      user.join();
      assertThat(history.settle(TRIES)).as(history.open().toString()).isTrue();
      System.out.printf(
          "upgraded under load: finalized after %.1f s, %d accepted, %d refused, %d late%n",
          seconds, history.accepted(), history.refused(), history.late());
      assertThat(history.accepted()).isGreaterThan(20);
      assertThat(history.violations()).isEmpty();
      assertThat(d.fleet().violations()).isEmpty();
      for (String job : history.doneJobs()) {
        assertThat(d.fleet().done()).contains(job + "/0", job + "/1");
      }
      var shown = d.run("features", "--server", d.address(0));
      assertThat(shown.code()).isZero();
      assertThat(shown.out()).contains("compact-hints").contains("m-2");
    }
  }

  @Test
  void stoppedProcessThatGoesOnAfterTheSwitchEndsWithItsCodeAndMessage() throws Exception {
    try (LocalDeployment d = new LocalDeployment(folder, 3, MACHINES, OLD)) {
      for (int i = 0; i < 3; i++) {
        int controller = i;
        eventually("m-" + i + " is ready", () -> ready(d, controller));
      }
      Process stopped = d.process(2);
      LocalDeployment.signal(stopped, "STOP");
      d.move(2); // It holds its sockets; the one in its place has others.
      for (int i = 0; i < 3; i++) {
        if (i < 2) {
          d.kill(i);
        }
        d.start(i, NEW);
        int controller = i;
        eventually("m-" + i + " is ready", () -> ready(d, controller));
      }
      eventually("the level is finalized", () -> level(d) == 2);
      LocalDeployment.signal(stopped, "CONT");
      assertThat(stopped.waitFor(30, TimeUnit.SECONDS)).isTrue();
      assertThat(stopped.exitValue()).isEqualTo(Main.LEFT);
      assertThat(d.errors(2, 2)).contains("this controller leaves");
      assertThat(ready(d, 0)).isTrue();

      d.kill(1); // An older program in the place of a newer one says why it does not serve.
      d.start(1, OLD);
      eventually(
          "m-1 says why",
          () -> {
            var shown = d.run("features", "--server", d.address(1));
            return shown.code() == 0 && shown.out().contains("this program supports 0 to 0");
          });
      assertThat(d.process(1).isAlive()).isTrue();
    }
  }

  @Test
  void badOptionsAreRefusedNamingTheField() throws Exception {
    String[][] bad = {
      {"[features]\nmin_level = 2\nmax_level = 1\n", "features.min_level is 2, above"},
      {"[features]\nmax_level = \"telepathy\"\n", "telepathy is not a feature"},
      {"[features]\nmax_level = 9\n", "features.max_level must be a feature level from 0 to 3"},
      {"[features]\nsoak_s = -1\n", "features.soak_s must be a number"},
      {"[features]\nfinalise = \"manual\"\n", "features.finalise is not known"},
      {"[features]\nfinalize = \"never\"\n", "features.finalize must be"},
      {"features = 1\n", "features must be a table"},
    };
    try (LocalDeployment d = new LocalDeployment(folder, 1, 0, OLD)) {
      for (int i = 0; i < bad.length; i++) {
        d.kill(0);
        d.start(0, bad[i][0]);
        assertThat(d.process(0).waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(d.process(0).exitValue()).isEqualTo(Main.USAGE);
        assertThat(d.errors(0, i + 1)).contains(bad[i][1]);
      }
    }
  }
}

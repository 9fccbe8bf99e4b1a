package graderelay.cli;

import static graderelay.cli.LocalDeployment.eventually;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three processes on loopback that store limits, and the operators' tool for them. */
class QuotaOnLoopbackTest {
  private static final String OPTIONS = "[features]\nmax_level = \"stored-limits\"\nsoak_s = 1\n";
  private static final int LIMIT = 12;
  private static final int MACHINES = 8;
  private static final int ROUNDS = 1500;

  @TempDir Path folder;

  private static LocalDeployment.Outcome quota(
      LocalDeployment d, int controller, String... arguments) throws Exception {
    String[] all = new String[arguments.length + 3];
    all[0] = "quota";
    System.arraycopy(arguments, 0, all, 1, arguments.length);
    all[all.length - 2] = "--server";
    all[all.length - 1] = d.address(controller);
    return d.run(all);
  }

  /** The controller that leads, or -1. */
  private static int leader(LocalDeployment d) throws Exception {
    for (int i = 0; i < 3; i++) {
      var status = d.run("status", "--server", d.address(i), "--json");
      if (status.code() == 0) {
        String leader =
            Json.read(status.out().getBytes(StandardCharsets.UTF_8)).path("owner").asText();
        return leader.startsWith("m-") ? Integer.parseInt(leader.substring(2)) : -1;
      }
    }
    return -1;
  }

  private static void refused(LocalDeployment.Outcome outcome, String names) {
    assertThat(outcome.err()).contains(names);
    assertThat(outcome.code()).isEqualTo(Main.REFUSED);
  }

  @Test
  void noMoreRunsThanTheLimitWhileTheLeaderEndsAndOperatorsChangeLimits() throws Exception {
    try (LocalDeployment d = new LocalDeployment(folder, 3, MACHINES, OPTIONS, LIMIT)) {
      eventually("limits are stored", () -> d.stored(QuotaCodec.SEEDED) != null);
      History history = new History(3, d::address);
      Thread user = new Thread(history);
      user.start();
      eventually("the limit is reached", () -> d.fleet().mostRunning() >= LIMIT - 1);
      int leader = leader(d);
      d.kill(leader);
      eventually("another one leads", () -> leader(d) >= 0 && leader(d) != leader);
      d.start(leader, OPTIONS);
      history.stop();
      user.join();
      assertThat(d.fleet().mostRunning()).isLessThanOrEqualTo(LIMIT);
      eventually("the leader shows the team", () -> quota(d, leader, "team").code() == 0);
      toolChangesLimits(d, (leader + 1) % 3);
      assertThat(history.settle(ROUNDS)).as(history.open().toString()).isTrue();
      System.out.printf(
          "stored limits on loopback: at most %d of %d CPUs at once, %d jobs accepted%n",
          d.fleet().mostRunning(), LIMIT, history.accepted());
      assertThat(d.fleet().mostRunning()).isLessThanOrEqualTo(LIMIT);
      assertThat(history.accepted()).isGreaterThan(20);
      assertThat(history.violations()).isEmpty();
      assertThat(d.fleet().violations()).isEmpty();
    }
  }

  private static void toolChangesLimits(LocalDeployment d, int at) throws Exception {
    refused(quota(d, at, "team", "--set", "cpus-max=-1"), "cpus_max");
    refused(quota(d, at, "team", "--set", "cpus-max=many"), "cpus_max");
    refused(quota(d, at, "team", "--set", "gpus=0.12345"), "gpus");
    refused(quota(d, at, "team", "--set", "cpus=20"), "cpus is 20.0, above cpus_max");
    refused(quota(d, at, "team", "--set", "colour=1"), "colour");
    refused(quota(d, at, "nobody", "--set", "cpus=1"), "team nobody is not known");
    refused(quota(d, at, "nobody"), "team nobody is not known");
    refused(quota(d, at, "team", "--set", "cpus=1", "--if-version", "1"), "have changed since");
    assertThat(quota(d, at, "--set", "cpus=1").code()).isEqualTo(Main.USAGE);
    var changed = quota(d, at, "team", "--set", "cpus=2", "--set", "cpus-max=6.5");
    assertThat(changed.code()).as(changed.err()).isZero();
    assertThat(quota(d, at).out()).contains("team").contains("6.5").contains("warning: team team");
    var shown = quota(d, at, "team", "--json");
    var team = Json.read(shown.out().getBytes(StandardCharsets.UTF_8)).path("teams").path(0);
    assertThat(team.path("cpus_max").asDouble()).isEqualTo(6.5);
    assertThat(team.path("version").asLong()).isPositive();
    assertThat(team.path("changed_by").asText()).isEqualTo(System.getProperty("user.name"));
  }
}

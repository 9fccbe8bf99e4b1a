package graderelay.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import graderelay.config.Settings;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.wire.Json;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/** Tests the administration API and the validation of settings. */
class AdminTest {
  private static SimWorld world(long seed) {
    SimWorld world = new SimWorld(seed);
    world.loop.run(3);
    return world;
  }

  private static JsonNode put(SimWorld world, int controller, String values, Long revision) {
    ObjectNode body = Json.object();
    body.set("values", Json.read(values.getBytes()));
    if (revision != null) {
      body.put("mark", revision);
    }
    return world.users.answer(controller, "PUT", "/admin/settings", Json.write(body));
  }

  @Test
  void invalidSettingIsRejectedWithItsNameAndRange() {
    SimWorld world = world(1);
    JsonNode outOfRange = put(world, 0, "{\"sample_size\":0}", null);
    assertThat(outOfRange.path("http").asInt()).isEqualTo(400);
    assertThat(outOfRange.path("error").asText()).contains("sample_size").contains("1 to 64");
    JsonNode unknownSetting = put(world, 0, "{\"colour\":1}", null);
    assertThat(unknownSetting.path("http").asInt()).isEqualTo(400);
    assertThat(unknownSetting.path("error").asText()).contains("colour").contains("spare_factor");
    JsonNode invalidLogLevel = put(world, 0, "{\"log_level\":\"loud\"}", null);
    assertThat(invalidLogLevel.path("error").asText()).contains("error, info or debug");
  }

  @Test
  void settingChangeAppliesToAllControllersAndStaleRevisionConflicts() {
    SimWorld world = world(2);
    long revision = world.users.answer(0, "GET", "/admin/settings", null).path("mark").asLong();
    assertThat(put(world, 0, "{\"idle_s\":7.5}", revision).path("http").asInt()).isEqualTo(200);
    world.loop.run(1);
    JsonNode late = put(world, 1, "{\"idle_s\":9}", revision);
    assertThat(late.path("http").asInt()).isEqualTo(409);
    assertThat(late.path("values").path("idle_s").asDouble()).isEqualTo(7.5);
    JsonNode back = put(world, 2, "{\"idle_s\":null}", null);
    assertThat(back.path("values").path("idle_s").asDouble()).isEqualTo(30);
  }

  @Test
  void noTaskStartsWhileClaimsArePaused() {
    SimWorld world = world(3);
    assertThat(world.users.answer(1, "POST", "/admin/claims/pause", null).path("http").asInt())
        .isEqualTo(200);
    SimJob job = world.users.job("j-000001", 2, 1, 2, true);
    world.users.submit(0, job);
    world.loop.run(20);
    assertThat(world.invariants.starts).isZero();
    world.users.answer(2, "POST", "/admin/claims/resume", null);
    world.loop.run(20);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
  }

  @Test
  void drainedMachineStaysEmptyAcrossLeaderFailover() {
    SimWorld world = world(4);
    SimJob job = world.users.job("j-000002", 2, 2, 0, false);
    world.users.submit(0, job);
    world.loop.run(15);
    String machine =
        world.workers.values().stream()
            .filter(worker -> !worker.running().isEmpty())
            .findFirst()
            .get()
            .name;
    world.users.answer(1, "POST", "/admin/machines/" + machine + "/drain", null);
    world.crash(world.leader());
    world.loop.run(30);
    assertThat(world.workers.get(machine).running()).isEmpty();
    assertThat(world.users.stage(world.leader(), job.id)).isEqualTo("running");
    assertThat(world.invariants.violations).isEmpty();
  }

  @Test
  void anyControllerAnswersRequestsThatNeedTheLeader() {
    SimWorld world = world(5);
    SimJob job = world.users.job("j-000003", 30, 4, 50, true);
    world.users.submit(0, job);
    world.loop.run(20);
    for (int i = 0; i < 3; i++) {
      JsonNode view = world.users.answer(i, "GET", "/admin/jobs/" + job.id, null);
      assertThat(view.path("waits_because").asText()).isNotEmpty();
      assertThat(view.path("claims").size()).isPositive();
      assertThat(world.users.answer(i, "GET", "/admin/machines", null).path("machines").size())
          .isPositive();
      JsonNode team = world.users.answer(i, "GET", "/admin/teams", null).path("teams").path(0);
      assertThat(team.path("cpus_used").asDouble()).isBetween(4.0, SimWorld.LIMIT);
      assertThat(world.users.answer(i, "GET", "/admin/status", null).path("owner").asText())
          .isEqualTo("m-" + world.leader());
    }
  }

  @Test
  void metricsReportStoreCallsTasksAndFleet() {
    SimWorld world = world(6);
    world.users.submit(0, world.users.job("j-000004", 2, 1, 2, true));
    world.loop.run(20);
    String[] text = {""};
    world.controllers[world.leader()].handle(
        new graderelay.net.Exchange(
            "GET",
            "/metrics",
            "",
            new byte[0],
            answer ->
                text[0] = new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8)));
    assertThat(text[0])
        .contains("graderelay_tasks{outcome=\"done\"} 2.0")
        .contains("graderelay_fleet{kind=")
        .contains("graderelay_demand_unmet{cause=\"on_demand_withheld\"} 0.0")
        .contains("graderelay_calls{call=\"multi 200\",service=\"state\"}")
        .contains("graderelay_queue_wait_seconds_count 2")
        .contains("graderelay_takeovers");
  }

  @Test
  void invalidSettingsFileIsRejectedByFieldAndUnknownFieldsAreIgnored() throws Exception {
    String validFile =
        """
        member = "m"
        zone = "a"
        api_addr = "10.0.0.1:80"
        mesh_addr = "10.0.0.1:81"
        surprise = 1
        [outside]
        cloud = "10.2.0.2:1"
        state = "10.2.0.1:1"
        [[deployment.teams]]
        name = "t"
        cpus = 1
        cpus_max = 2
        gpus = 0
        gpus_max = 0
        [[deployment.teams]]
        name = "guest"
        cpus = 0
        cpus_max = 0
        gpus = 0
        gpus_max = 0
        [deployment.workers]
        report_s = 2
        lease_s = 12
        cancel_s = 40
        [deployment.state]
        rps = 100
        write_rps = 25
        value_kb = 16
        txn_ops = 12
        [deployment.cloud]
        rps = 2
        list_lag_s = 4
        [deployment.resources]
        cpu_share = 0.34
        max_connections = 900
        """;
    assertThat(Settings.parse(new TomlMapper().readTree(validFile)).txnOps()).isEqualTo(12);
    Assertions.assertThatThrownBy(
            () -> Settings.parse(new TomlMapper().readTree(validFile.replace("lease_s = 12", ""))))
        .hasMessageContaining("deployment.workers.lease_s");
    Assertions.assertThatThrownBy(
            () -> Settings.parse(new TomlMapper().readTree(validFile.replace(".1:80", ""))))
        .hasMessageContaining("api_addr");
    String[][] invalidTeams = {
      {"cpus = 1\n", "cpus = 3\n", "deployment.teams[0].cpus must be at most cpus_max"},
      {"cpus = 1\n", "cpus = -1\n", "deployment.teams[0].cpus"},
      {"gpus_max = 0\n[[", "[[", "deployment.teams[0].gpus_max"},
      {"\"guest\"", "\"t\"", "deployment.teams[1].name"},
    };
    for (String[] invalid : invalidTeams) {
      assertThat(validFile).contains(invalid[0]);
      Assertions.assertThatThrownBy(
              () ->
                  Settings.parse(
                      new TomlMapper().readTree(validFile.replace(invalid[0], invalid[1]))))
          .hasMessageContaining(invalid[2]);
    }
  }

  @Test
  void fleetIsListedInPagesAndByStateFromAnyController() {
    SimWorld world = world(8);
    world.users.submit(0, world.users.job("j-000090", 5, 4, 0, false));
    world.loop.run(15);
    int known = world.workers.size();
    assertThat(known).isGreaterThan(3);
    for (int controller = 0; controller < 3; controller++) {
      String after = "";
      int seen = 0;
      JsonNode page;
      do {
        page = world.users.answer(controller, "GET", "/admin/machines?most=2&after=" + after, null);
        assertThat(page.path("machines").size()).isBetween(1, 2);
        for (JsonNode machine : page.path("machines")) {
          assertThat(machine.path("name").asText()).isGreaterThan(after);
          after = machine.path("name").asText();
          seen++;
        }
      } while (page.path("truncated").asBoolean());
      assertThat(seen).isEqualTo(page.path("known").asInt()).isGreaterThanOrEqualTo(known);
    }
    JsonNode up = world.users.answer(1, "GET", "/admin/machines?state=up", null);
    assertThat(up.path("machines").size()).isEqualTo(up.path("states").path("up").asInt());
    JsonNode none = world.users.answer(1, "GET", "/admin/machines?zone=nowhere", null);
    assertThat(none.path("machines").size()).isZero();
    assertThat(world.users.answer(1, "GET", "/admin/machines?most=x", null).path("http").asInt())
        .isEqualTo(400);
    assertThat(world.users.answer(0, "GET", "/admin/jobs?team=nobody", null).path("jobs").size())
        .isZero();
  }
}

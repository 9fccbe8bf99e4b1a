package graderelay.quota;

import static graderelay.quota.QuotaSteps.assertNoViolations;
import static graderelay.quota.QuotaSteps.changeLimits;
import static graderelay.quota.QuotaSteps.isClaim;
import static graderelay.quota.QuotaSteps.overwriteAccount;
import static graderelay.quota.QuotaSteps.reservedCpus;
import static graderelay.quota.QuotaSteps.showQuota;
import static graderelay.quota.QuotaSteps.submitBurst;
import static graderelay.quota.QuotaSteps.worldWithStoredLimits;
import static graderelay.quota.QuotaSteps.worldWithoutStoredLimits;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.sim.QuotaRecorder;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Operators view and change stored limits while jobs are running. */
class LimitChangeTest {
  /** Seconds within which a raised limit has to take effect. */
  private static final double MAX_RAISE_DELAY_S = 2;

  private static int status(JsonNode answer) {
    return answer.path("http").asInt();
  }

  private static String metrics(SimWorld world) {
    String[] text = {""};
    world.users.ask(
        world.leader(),
        "GET",
        "/metrics",
        null,
        (reply, json) -> text[0] = new String(reply.body()));
    world.loop.run(0.5);
    return text[0];
  }

  @Test
  void loweredLimitStartsNoTaskUntilRunningTasksFitAndRaisedLimitAppliesPromptly() {
    SimWorld world = worldWithStoredLimits(501, 3);
    final QuotaRecorder recorder = new QuotaRecorder(world);
    submitBurst(world, "team", "30", 100, 0.1, 2, 12);
    world.loop.run(20);
    assertThat(world.invariants.running("team")).isEqualTo(SimWorld.LIMIT);
    int starts = world.invariants.starts;
    assertThat(status(changeLimits(world, 1, "team", "{\"cpus_max\":10}"))).isEqualTo(200);
    while (world.invariants.running("team") > 10) {
      world.loop.run(0.1);
      assertThat(world.invariants.starts)
          .isLessThanOrEqualTo(starts + 2); // Claimed before the change.
    }
    assertThat(metrics(world)).contains("graderelay_quota_differences{team=\"team\"} 1");
    world.loop.run(30);
    assertThat(world.invariants.running("team")).isLessThanOrEqualTo(10);
    starts = world.invariants.starts;
    assertThat(status(changeLimits(world, 2, "team", "{\"cpus_max\":20}"))).isEqualTo(200);
    world.loop.run(MAX_RAISE_DELAY_S);
    assertThat(world.invariants.starts).isGreaterThan(starts);
    world.loop.run(200);
    assertNoViolations(world, recorder);
  }

  @Test
  void claimDecidedUnderEarlierLimitsFails() {
    SimWorld world = worldWithStoredLimits(502, 3);
    final QuotaRecorder recorder = new QuotaRecorder(world);
    final List<SimJob> jobs = submitBurst(world, "team", "31", 40, 0.1, 2, 5);
    world.loop.run(14);
    final int conflicts = world.store.conflicts;
    world.store.delayS = 1;
    world.store.delay = transaction -> isClaim(transaction);
    world.loop.run(0.8);
    changeLimits(world, 0, "team", "{\"cpus_max\":8}");
    world.store.delay = transaction -> false;
    world.loop.run(2);
    assertThat(world.store.conflicts).isGreaterThan(conflicts);
    world.loop.run(150);
    QuotaSteps.assertAllDone(world, recorder, jobs);
  }

  @ParameterizedTest
  @ValueSource(longs = {511, 512, 513})
  void limitChangedDuringFailoverHoldsForTheNextLeader(long seed) {
    SimWorld world = worldWithStoredLimits(seed, 5);
    final QuotaRecorder recorder = new QuotaRecorder(world);
    final List<SimJob> jobs = submitBurst(world, "team", "32", 60, 0.1, 2, 4);
    world.loop.run(12);
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(1 + seed % 3);
    assertThat(status(changeLimits(world, (leader + 1) % 5, "team", "{\"cpus_max\":9.5}")))
        .isEqualTo(200);
    world.loop.after(3, () -> world.start(leader));
    world.loop.run(160);
    QuotaSteps.assertAllDone(world, recorder, jobs);
    assertThat(showQuota(world, "team").path("cpus_max").asDouble()).isEqualTo(9.5);
  }

  @Test
  void oneOfTwoConcurrentChangesIsRefusedWithTheCurrentVersion() {
    SimWorld world = worldWithStoredLimits(521, 3);
    final long version = showQuota(world, "team").path("version").asLong();
    JsonNode[] answers = new JsonNode[2];
    world.store.delay =
        transaction ->
            transaction
                .toString()
                .contains(QuotaCodec.limitKey("team")); // Both have read the record.
    world.store.delayS = 0.5;
    for (int i = 0; i < 2; i++) {
      int controller = i;
      byte[] body = ("{\"cpus_max\":" + (10 + i) + ",\"by\":\"operator-" + i + "\"}").getBytes();
      world.users.ask(
          controller,
          "PUT",
          "/admin/quota/team",
          body,
          (reply, json) -> answers[controller] = ((ObjectNode) json).put("http", reply.status()));
    }
    world.loop.run(2);
    int winner = status(answers[0]) == 200 ? 0 : 1;
    assertThat(status(answers[winner])).isEqualTo(200);
    assertThat(status(answers[1 - winner])).isEqualTo(409);
    assertThat(answers[1 - winner].path("version").asLong()).isGreaterThan(version);
    assertThat(answers[1 - winner].path("changed_by").asText()).isEqualTo("operator-" + winner);
    JsonNode late = changeLimits(world, 2, "team", "{\"cpus_max\":1,\"version\":" + version + "}");
    assertThat(status(late)).isEqualTo(409);
    assertThat(showQuota(world, "team").path("cpus_max").asDouble()).isEqualTo(10 + winner);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "team | {\"cpus_max\":-1} | cpus_max",
        "team | {\"cpus\":\"many\"} | cpus",
        "team | {\"gpus\":1.0005} | gpus",
        "team | {\"cpus\":30} | cpus is 30.0, above cpus_max, which is 24.0",
        "team | {\"colour\":1} | colour",
        "team | {\"version\":\"new\"} | version",
        "team | [1] | the body must be a JSON object",
        "team | {\"cpus\":1 | the body must be a JSON object",
        "nobody | {\"cpus\":1} | team nobody is not known",
        "%zz | {\"cpus\":1} | not properly encoded"
      })
  void invalidChangeIsRefusedNamingTheFieldAndChangesNothing(
      String team, String body, String field) {
    SimWorld world = worldWithStoredLimits(531, 3);
    JsonNode before = world.store.value(QuotaCodec.limitKey("team"));
    JsonNode answer = changeLimits(world, 1, team, body);
    assertThat(status(answer)).isEqualTo(400);
    assertThat(answer.path("error").asText()).contains(field);
    assertThat(world.store.value(QuotaCodec.limitKey("team"))).isEqualTo(before);
  }

  @Test
  void allErrorsOfOneChangeAreReportedTogether() {
    SimWorld world = worldWithStoredLimits(532, 3);
    String error =
        changeLimits(world, 0, "team", "{\"cpus\":-1,\"gpus_max\":0.12345}").path("error").asText();
    assertThat(error).contains("cpus").contains("gpus_max").contains("; ");
  }

  @Test
  void changesAreUnavailableWithoutTheStoreAndRefusedBelowTheFeatureLevel() {
    SimWorld world = worldWithStoredLimits(533, 3);
    world.store.outage(true);
    world.loop.run(2);
    assertThat(status(changeLimits(world, 0, "team", "{\"cpus_max\":9}"))).isEqualTo(503);
    SimWorld before = worldWithoutStoredLimits(534, 3);
    JsonNode refused = changeLimits(before, 0, "team", "{\"cpus_max\":9}");
    assertThat(status(refused)).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("stored-limits");
    assertThat(showQuota(before, "team").path("cpus_max").asDouble()).isEqualTo(SimWorld.LIMIT);
  }

  @Test
  void teamCanBeAddedAndIsRemovedOnlyWithoutLiveJobs() {
    SimWorld world = worldWithStoredLimits(541, 3);
    final QuotaRecorder recorder = new QuotaRecorder(world);
    String path = "/admin/quota/night+shift";
    byte[] body = "{\"cpus\":2,\"cpus_max\":4}".getBytes();
    SimJob job = world.users.job("j-004001", 2, 2, 15, true);
    job.team = "night shift";
    JsonNode unknown = world.users.answer(1, "POST", "/v1/jobs", Json.write(world.users.body(job)));
    assertThat(status(unknown)).isEqualTo(422);
    assertThat(status(world.users.answer(0, "POST", path, body))).isEqualTo(200);
    assertThat(status(world.users.answer(1, "POST", path, body))).isEqualTo(409);
    world.users.submit(1, job);
    world.loop.run(20);
    assertThat(showQuota(world, "night+shift").path("cpus_used").asDouble()).isEqualTo(4);
    JsonNode refused = world.users.answer(2, "DELETE", path, null);
    assertThat(status(refused)).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("1 live jobs");
    world.loop.run(30);
    assertThat(world.users.stage(0, job.id)).isEqualTo("done");
    assertThat(status(world.users.answer(2, "DELETE", path, null))).isEqualTo(200);
    assertThat(world.store.items.keySet()).noneMatch(key -> key.contains("night"));
    assertThat(status(world.users.answer(0, "GET", path, null))).isEqualTo(404);
    world.loop.run(5);
    assertThat(metrics(world)).doesNotContain("graderelay_quota_differences");
    assertNoViolations(world, recorder);
  }

  // ---------------------------------------------------------------- submissions

  @Test
  void noJobIsPermanentlyRefusedByOutdatedLimits() {
    SimWorld world = worldWithStoredLimits(551, 3);
    int outdatedController = (world.leader() + 1) % 3;
    changeLimits(world, world.leader(), "team", "{\"cpus\":1,\"cpus_max\":2}");
    world.loop.run(1);
    SimJob job = world.users.job("j-004010", 1, 3, 5, true);
    JsonNode refused =
        world.users.answer(
            outdatedController, "POST", "/v1/jobs", Json.write(world.users.body(job)));
    assertThat(status(refused)).isEqualTo(422);
    world.store.holdWatches = true; // Its copy of the limits becomes outdated.
    world.loop.run(0.2);
    TeamQuota raised = new TeamQuota(Amount.roundedDown(1, 0), Amount.roundedDown(8, 0));
    world.store.overwrite(
        QuotaCodec.limitKey("team"), QuotaCodec.encodeLimits(raised, "operator", 1));
    int[] statusCode = {0};
    world.users.ask(
        outdatedController,
        "POST",
        "/v1/jobs",
        Json.write(world.users.body(job)),
        (reply, json) -> statusCode[0] = reply.status());
    world.loop.run(1);
    assertThat(statusCode[0]).isNotIn(422, 400);
    world.store.holdWatches = false;
    world.users.submit(outdatedController, job);
    world.loop.run(40);
    assertThat(world.users.stage(outdatedController, job.id)).isEqualTo("done");
  }

  @Test
  void acceptedJobAboveTheLoweredLimitStaysPendingAndStartsOnceItFits() {
    SimWorld world = worldWithStoredLimits(552, 3);
    final QuotaRecorder recorder = new QuotaRecorder(world);
    changeLimits(world, 0, "team", "{\"cpus\":1,\"cpus_max\":4}");
    SimJob first = world.users.job("j-004020", 1, 4, 30, true);
    world.users.submit(0, first);
    world.loop.run(15);
    SimJob large = world.users.job("j-004021", 1, 3, 5, true);
    world.users.submit(1, large);
    world.loop.run(1);
    changeLimits(world, 2, "team", "{\"cpus_max\":2}");
    world.loop.run(60);
    assertThat(world.users.stage(0, first.id)).isEqualTo("done");
    assertThat(world.users.stage(1, large.id)).isEqualTo("pending");
    String waitReason =
        world
            .users
            .answer(0, "GET", "/admin/jobs/" + large.id, null)
            .path("waits_because")
            .asText();
    assertThat(waitReason).contains("needs 3 CPUs").contains("stored limits of team team");
    JsonNode again = world.users.answer(2, "POST", "/v1/jobs", Json.write(world.users.body(large)));
    assertThat(status(again)).isEqualTo(200);
    changeLimits(world, 2, "team", "{\"cpus_max\":3}");
    world.loop.run(30);
    assertThat(world.users.stage(1, large.id)).isEqualTo("done");
    assertNoViolations(world, recorder);
  }

  // ---------------------------------------------------------------- malformed records

  @Test
  void malformedAccountStopsOnlyItsTeamUntilOperatorsRecomputeIt() {
    SimWorld world = worldWithStoredLimits(561, 3);
    final List<SimJob> jobs = submitBurst(world, "team", "36", 40, 0.5, 2, 3);
    final List<SimJob> others = submitBurst(world, "other", "37", 30, 1, 2, 3);
    world.loop.run(15);
    world.store.overwrite(QuotaCodec.accountKey("team"), Json.object().put("cpus", -5));
    world.loop.run(6);
    int running = (int) world.invariants.running("team");
    assertThat(running).isZero();
    assertThat(world.invariants.running("other")).isPositive();
    assertThat(showQuota(world, "team").path("stopped_because").asText()).contains("malformed");
    assertThat(metrics(world))
        .contains("graderelay_quota{team=\"team\",what=\"stopped\"} 1")
        .contains("graderelay_quota_differences{team=\"team\"}");
    world.crash(world.leader()); // The next leader must not repair it silently either.
    world.loop.run(20);
    assertThat(world.invariants.running("team")).isZero();
    JsonNode done = world.users.answer(world.leader(), "POST", "/admin/quota/team/recompute", null);
    assertThat(status(done)).isEqualTo(200);
    world.loop.run(80);
    jobs.addAll(others);
    for (SimJob job : jobs) {
      assertThat(world.users.stage(world.leader(), job.id)).as(job.id).isEqualTo("done");
    }
    WorldAssertions.fine(world);
  }

  @Test
  void leaderDeposedWhileReadingForRecomputeContinuesAsFollower() {
    SimWorld world = worldWithStoredLimits(564, 3);
    int leader = world.leader();
    world.suspend(leader); // It processes the request first when it resumes.
    world.users.ask(leader, "POST", "/admin/quota/team/recompute", null, (reply, json) -> {});
    world.loop.run(9);
    world.resume(leader);
    world.loop.run(5);
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(status(world.users.answer(leader, "GET", "/ready", null))).isEqualTo(200);
    WorldAssertions.fine(world);
  }

  @Test
  void malformedLimitsStopOnlyTheirTeamUntilTheyAreReplaced() {
    SimWorld world = worldWithStoredLimits(562, 3);
    world.store.overwrite(QuotaCodec.limitKey("team"), Json.array());
    world.loop.run(1);
    final List<SimJob> jobs = submitBurst(world, "team", "38", 5, 0.1, 2, 3);
    List<SimJob> others = submitBurst(world, "other", "39", 5, 0.1, 2, 3);
    world.loop.run(40);
    assertThat(world.invariants.running("team")).isZero();
    assertThat(world.users.stage(0, others.get(0).id)).isEqualTo("done");
    assertThat(world.users.stage(0, jobs.get(0).id)).isEqualTo("pending");
    assertThat(showQuota(world, "team").path("stopped_because").asText()).contains("malformed");
    assertThat(metrics(world)).contains("graderelay_quota{team=\"team\",what=\"stopped\"} 1");
    assertThat(status(changeLimits(world, 0, "team", "{\"cpus_max\":9}"))).isEqualTo(409);
    String completeLimits = "{\"cpus\":1,\"cpus_max\":9,\"gpus\":0,\"gpus_max\":0}";
    assertThat(status(changeLimits(world, 0, "team", completeLimits))).isEqualTo(200);
    world.loop.run(40);
    assertThat(world.users.stage(0, jobs.get(4).id)).isEqualTo("done");
    WorldAssertions.fine(world);
  }

  @Test
  void externallyChangedAccountIsReportedAndNoLimitIsExceeded() {
    SimWorld world = worldWithStoredLimits(563, 3);
    final List<SimJob> jobs = submitBurst(world, "team", "35", 60, 0.2, 2, 4);
    world.loop.run(14);
    overwriteAccount(world, "team", 0);
    world.loop.run(3);
    assertThat(metrics(world)).contains("graderelay_quota_differences{team=\"team\"}");
    world.loop.run(60);
    assertThat(world.users.stage(0, jobs.get(59).id)).isEqualTo("done");
    world.loop.run(8);
    assertThat(reservedCpus(world, "team")).isZero();
    WorldAssertions.fine(world);
  }

  @Test
  void settingsThatDifferFromTheStoredLimitsAreShown() {
    SimWorld world = worldWithStoredLimits(571, 3);
    changeLimits(world, 0, "team", "{\"cpus_max\":20}");
    world.loop.run(1);
    JsonNode completeLimits = world.users.answer(1, "GET", "/admin/quota", null);
    assertThat(completeLimits.path("stored").asBoolean()).isTrue();
    assertThat(completeLimits.path("teams").size()).isEqualTo(3);
    assertThat(completeLimits.path("settings_differ").toString())
        .contains("team team")
        .contains("24 CPUs");
    assertThat(metrics(world)).contains("what=\"settings_differ\"} 1");
  }
}

package graderelay.quota;

import static graderelay.quota.QuotaSteps.account;
import static graderelay.quota.QuotaSteps.burst;
import static graderelay.quota.QuotaSteps.isClaim;
import static graderelay.quota.QuotaSteps.kept;
import static graderelay.quota.QuotaSteps.overwriteAccount;
import static graderelay.quota.QuotaSteps.plain;
import static graderelay.quota.QuotaSteps.set;
import static graderelay.quota.QuotaSteps.shown;
import static graderelay.quota.QuotaSteps.stored;
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

/** Operators see and change stored limits while the service runs. */
class LimitChangeTest {
  /** Seconds within which a raised limit takes effect. */
  private static final double RAISED_S = 2;

  private static int status(JsonNode answer) {
    return answer.path("http").asInt();
  }

  private static String metrics(SimWorld w) {
    String[] text = {""};
    w.users.ask(w.leader(), "GET", "/metrics", null, (r, n) -> text[0] = new String(r.body()));
    w.loop.run(0.5);
    return text[0];
  }

  @Test
  void loweredLimitStartsNothingUntilWhatRunsFitsAndRaisedOneTakesEffectAtOnce() {
    SimWorld w = stored(501, 3);
    final QuotaRecorder recorder = new QuotaRecorder(w);
    burst(w, "team", "30", 100, 0.1, 2, 12);
    w.loop.run(20);
    assertThat(w.invariants.running("team")).isEqualTo(SimWorld.LIMIT);
    int starts = w.invariants.starts;
    assertThat(status(set(w, 1, "team", "{\"cpus_max\":10}"))).isEqualTo(200);
    while (w.invariants.running("team") > 10) {
      w.loop.run(0.1);
      assertThat(w.invariants.starts).isLessThanOrEqualTo(starts + 2); // What was claimed before.
    }
    assertThat(metrics(w)).contains("graderelay_quota_differences{team=\"team\"} 1");
    w.loop.run(30);
    assertThat(w.invariants.running("team")).isLessThanOrEqualTo(10);
    starts = w.invariants.starts;
    assertThat(status(set(w, 2, "team", "{\"cpus_max\":20}"))).isEqualTo(200);
    w.loop.run(RAISED_S);
    assertThat(w.invariants.starts).isGreaterThan(starts);
    w.loop.run(200);
    kept(w, recorder);
  }

  @Test
  void claimDecidedUnderEarlierLimitsFails() {
    SimWorld w = stored(502, 3);
    final QuotaRecorder recorder = new QuotaRecorder(w);
    final List<SimJob> jobs = burst(w, "team", "31", 40, 0.1, 2, 5);
    w.loop.run(14);
    final int conflicts = w.store.conflicts;
    w.store.delayS = 1;
    w.store.delay = t -> isClaim(t);
    w.loop.run(0.8);
    set(w, 0, "team", "{\"cpus_max\":8}");
    w.store.delay = t -> false;
    w.loop.run(2);
    assertThat(w.store.conflicts).isGreaterThan(conflicts);
    w.loop.run(150);
    QuotaSteps.allDone(w, recorder, jobs);
  }

  @ParameterizedTest
  @ValueSource(longs = {511, 512, 513})
  void limitChangedDuringFailoverHoldsForTheNextLeader(long seed) {
    SimWorld w = stored(seed, 5);
    final QuotaRecorder recorder = new QuotaRecorder(w);
    final List<SimJob> jobs = burst(w, "team", "32", 60, 0.1, 2, 4);
    w.loop.run(12);
    int leader = w.leader();
    w.crash(leader);
    w.loop.run(1 + seed % 3);
    assertThat(status(set(w, (leader + 1) % 5, "team", "{\"cpus_max\":9.5}"))).isEqualTo(200);
    w.loop.after(3, () -> w.start(leader));
    w.loop.run(160);
    QuotaSteps.allDone(w, recorder, jobs);
    assertThat(shown(w, "team").path("cpus_max").asDouble()).isEqualTo(9.5);
  }

  @Test
  void ofTwoOperatorsAtOnceOneGetsConflictWithThePresentVersion() {
    SimWorld w = stored(521, 3);
    final long version = shown(w, "team").path("version").asLong();
    JsonNode[] answers = new JsonNode[2];
    w.store.delay = t -> t.toString().contains(QuotaCodec.limitKey("team")); // Both have read it.
    w.store.delayS = 0.5;
    for (int i = 0; i < 2; i++) {
      int controller = i;
      byte[] body = ("{\"cpus_max\":" + (10 + i) + ",\"by\":\"operator-" + i + "\"}").getBytes();
      w.users.ask(
          controller,
          "PUT",
          "/admin/quota/team",
          body,
          (r, n) -> answers[controller] = ((ObjectNode) n).put("http", r.status()));
    }
    w.loop.run(2);
    int won = status(answers[0]) == 200 ? 0 : 1;
    assertThat(status(answers[won])).isEqualTo(200);
    assertThat(status(answers[1 - won])).isEqualTo(409);
    assertThat(answers[1 - won].path("version").asLong()).isGreaterThan(version);
    assertThat(answers[1 - won].path("changed_by").asText()).isEqualTo("operator-" + won);
    JsonNode late = set(w, 2, "team", "{\"cpus_max\":1,\"version\":" + version + "}");
    assertThat(status(late)).isEqualTo(409);
    assertThat(shown(w, "team").path("cpus_max").asDouble()).isEqualTo(10 + won);
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
  void invalidChangeIsRefusedWithItsFieldAndChangesNothing(String team, String body, String field) {
    SimWorld w = stored(531, 3);
    JsonNode before = w.store.value(QuotaCodec.limitKey("team"));
    JsonNode answer = set(w, 1, team, body);
    assertThat(status(answer)).isEqualTo(400);
    assertThat(answer.path("error").asText()).contains(field);
    assertThat(w.store.value(QuotaCodec.limitKey("team"))).isEqualTo(before);
  }

  @Test
  void allMistakesOfOneChangeAreReportedAtOnce() {
    SimWorld w = stored(532, 3);
    String error = set(w, 0, "team", "{\"cpus\":-1,\"gpus_max\":0.12345}").path("error").asText();
    assertThat(error).contains("cpus").contains("gpus_max").contains("; ");
  }

  @Test
  void withoutTheStoreChangesArePutOffAndWithoutTheLevelRefused() {
    SimWorld w = stored(533, 3);
    w.store.outage(true);
    w.loop.run(2);
    assertThat(status(set(w, 0, "team", "{\"cpus_max\":9}"))).isEqualTo(503);
    SimWorld before = plain(534, 3);
    JsonNode refused = set(before, 0, "team", "{\"cpus_max\":9}");
    assertThat(status(refused)).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("stored-limits");
    assertThat(shown(before, "team").path("cpus_max").asDouble()).isEqualTo(SimWorld.LIMIT);
  }

  @Test
  void teamIsAddedAndRemovedAgainButNotWhileItHasWork() {
    SimWorld w = stored(541, 3);
    final QuotaRecorder recorder = new QuotaRecorder(w);
    String path = "/admin/quota/night+shift";
    byte[] body = "{\"cpus\":2,\"cpus_max\":4}".getBytes();
    SimJob job = w.users.job("j-004001", 2, 2, 15, true);
    job.team = "night shift";
    JsonNode unknown = w.users.answer(1, "POST", "/v1/jobs", Json.write(w.users.body(job)));
    assertThat(status(unknown)).isEqualTo(422);
    assertThat(status(w.users.answer(0, "POST", path, body))).isEqualTo(200);
    assertThat(status(w.users.answer(1, "POST", path, body))).isEqualTo(409);
    w.users.submit(1, job);
    w.loop.run(20);
    assertThat(shown(w, "night+shift").path("cpus_used").asDouble()).isEqualTo(4);
    JsonNode refused = w.users.answer(2, "DELETE", path, null);
    assertThat(status(refused)).isEqualTo(409);
    assertThat(refused.path("error").asText()).contains("1 live jobs");
    w.loop.run(30);
    assertThat(w.users.stage(0, job.id)).isEqualTo("done");
    assertThat(status(w.users.answer(2, "DELETE", path, null))).isEqualTo(200);
    assertThat(w.store.items.keySet()).noneMatch(key -> key.contains("night"));
    assertThat(status(w.users.answer(0, "GET", path, null))).isEqualTo(404);
    w.loop.run(5);
    assertThat(metrics(w)).doesNotContain("graderelay_quota_differences");
    kept(w, recorder);
  }

  // ---------------------------------------------------------------- submissions

  @Test
  void noJobIsRefusedForGoodByLimitsThatAreOutOfDate() {
    SimWorld w = stored(551, 3);
    int behind = (w.leader() + 1) % 3;
    set(w, w.leader(), "team", "{\"cpus\":1,\"cpus_max\":2}");
    w.loop.run(1);
    SimJob job = w.users.job("j-004010", 1, 3, 5, true);
    JsonNode refused = w.users.answer(behind, "POST", "/v1/jobs", Json.write(w.users.body(job)));
    assertThat(status(refused)).isEqualTo(422);
    w.store.holdWatches = true; // What it knows of the limits stays as it is.
    w.loop.run(0.2);
    TeamQuota raised = new TeamQuota(Amount.granted(1, 0), Amount.granted(8, 0));
    w.store.overwrite(QuotaCodec.limitKey("team"), QuotaCodec.encodeLimits(raised, "operator", 1));
    int[] answered = {0};
    w.users.ask(
        behind,
        "POST",
        "/v1/jobs",
        Json.write(w.users.body(job)),
        (r, n) -> answered[0] = r.status());
    w.loop.run(1);
    assertThat(answered[0]).isNotIn(422, 400);
    w.store.holdWatches = false;
    w.users.submit(behind, job);
    w.loop.run(40);
    assertThat(w.users.stage(behind, job.id)).isEqualTo("done");
  }

  @Test
  void acceptedJobAboveTheLoweredLimitStaysKnownAndStartsOnceItFits() {
    SimWorld w = stored(552, 3);
    final QuotaRecorder recorder = new QuotaRecorder(w);
    set(w, 0, "team", "{\"cpus\":1,\"cpus_max\":4}");
    SimJob first = w.users.job("j-004020", 1, 4, 30, true);
    w.users.submit(0, first);
    w.loop.run(15);
    SimJob large = w.users.job("j-004021", 1, 3, 5, true);
    w.users.submit(1, large);
    w.loop.run(1);
    set(w, 2, "team", "{\"cpus_max\":2}");
    w.loop.run(60);
    assertThat(w.users.stage(0, first.id)).isEqualTo("done");
    assertThat(w.users.stage(1, large.id)).isEqualTo("pending");
    String why =
        w.users.answer(0, "GET", "/admin/jobs/" + large.id, null).path("waits_because").asText();
    assertThat(why).contains("needs 3 CPUs").contains("stored limits of team team");
    JsonNode again = w.users.answer(2, "POST", "/v1/jobs", Json.write(w.users.body(large)));
    assertThat(status(again)).isEqualTo(200);
    set(w, 2, "team", "{\"cpus_max\":3}");
    w.loop.run(30);
    assertThat(w.users.stage(1, large.id)).isEqualTo("done");
    kept(w, recorder);
  }

  // ---------------------------------------------------------------- bad records

  @Test
  void malformedAccountStopsItsTeamAloneUntilOperatorsHaveItRecomputed() {
    SimWorld w = stored(561, 3);
    final List<SimJob> jobs = burst(w, "team", "36", 40, 0.5, 2, 3);
    final List<SimJob> others = burst(w, "other", "37", 30, 1, 2, 3);
    w.loop.run(15);
    w.store.overwrite(QuotaCodec.accountKey("team"), Json.object().put("cpus", -5));
    w.loop.run(6);
    int running = (int) w.invariants.running("team");
    assertThat(running).isZero();
    assertThat(w.invariants.running("other")).isPositive();
    assertThat(shown(w, "team").path("stopped_because").asText()).contains("malformed");
    assertThat(metrics(w))
        .contains("graderelay_quota{team=\"team\",what=\"stopped\"} 1")
        .contains("graderelay_quota_differences{team=\"team\"}");
    w.crash(w.leader()); // The next leader does not mend it in silence either.
    w.loop.run(20);
    assertThat(w.invariants.running("team")).isZero();
    JsonNode done = w.users.answer(w.leader(), "POST", "/admin/quota/team/recompute", null);
    assertThat(status(done)).isEqualTo(200);
    w.loop.run(80);
    jobs.addAll(others);
    for (SimJob job : jobs) {
      assertThat(w.users.stage(w.leader(), job.id)).as(job.id).isEqualTo("done");
    }
    WorldAssertions.fine(w);
  }

  @Test
  void leaderDeposedWhileItReadsForRecomputeGoesOnAsFollower() {
    SimWorld w = stored(564, 3);
    int leader = w.leader();
    w.suspend(leader); // The request is the first thing that it finds when it wakes.
    w.users.ask(leader, "POST", "/admin/quota/team/recompute", null, (r, n) -> {});
    w.loop.run(9);
    w.resume(leader);
    w.loop.run(5);
    assertThat(w.leader()).isNotNegative().isNotEqualTo(leader);
    assertThat(status(w.users.answer(leader, "GET", "/ready", null))).isEqualTo(200);
    WorldAssertions.fine(w);
  }

  @Test
  void malformedLimitsStopTheirTeamAloneUntilTheyAreGivenAnew() {
    SimWorld w = stored(562, 3);
    w.store.overwrite(QuotaCodec.limitKey("team"), Json.array());
    w.loop.run(1);
    final List<SimJob> jobs = burst(w, "team", "38", 5, 0.1, 2, 3);
    List<SimJob> others = burst(w, "other", "39", 5, 0.1, 2, 3);
    w.loop.run(40);
    assertThat(w.invariants.running("team")).isZero();
    assertThat(w.users.stage(0, others.get(0).id)).isEqualTo("done");
    assertThat(w.users.stage(0, jobs.get(0).id)).isEqualTo("pending");
    assertThat(shown(w, "team").path("stopped_because").asText()).contains("malformed");
    assertThat(metrics(w)).contains("graderelay_quota{team=\"team\",what=\"stopped\"} 1");
    assertThat(status(set(w, 0, "team", "{\"cpus_max\":9}"))).isEqualTo(409);
    String all = "{\"cpus\":1,\"cpus_max\":9,\"gpus\":0,\"gpus_max\":0}";
    assertThat(status(set(w, 0, "team", all))).isEqualTo(200);
    w.loop.run(40);
    assertThat(w.users.stage(0, jobs.get(4).id)).isEqualTo("done");
    WorldAssertions.fine(w);
  }

  @Test
  void anAccountThatSomebodyChangesIsToldOfAndPassesNoLimit() {
    SimWorld w = stored(563, 3);
    final List<SimJob> jobs = burst(w, "team", "35", 60, 0.2, 2, 4);
    w.loop.run(14);
    overwriteAccount(w, "team", 0);
    w.loop.run(3);
    assertThat(metrics(w)).contains("graderelay_quota_differences{team=\"team\"}");
    w.loop.run(60);
    assertThat(w.users.stage(0, jobs.get(59).id)).isEqualTo("done");
    w.loop.run(8);
    assertThat(account(w, "team")).isZero();
    WorldAssertions.fine(w);
  }

  @Test
  void settingsThatDifferFromWhatIsStoredAreShown() {
    SimWorld w = stored(571, 3);
    set(w, 0, "team", "{\"cpus_max\":20}");
    w.loop.run(1);
    JsonNode all = w.users.answer(1, "GET", "/admin/quota", null);
    assertThat(all.path("stored").asBoolean()).isTrue();
    assertThat(all.path("teams").size()).isEqualTo(3);
    assertThat(all.path("settings_differ").toString()).contains("team team").contains("24 CPUs");
    assertThat(metrics(w)).contains("what=\"settings_differ\"} 1");
  }
}

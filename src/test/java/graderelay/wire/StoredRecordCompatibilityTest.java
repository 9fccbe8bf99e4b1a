package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.Action;
import graderelay.core.JobKind;
import graderelay.core.JobSpec;
import graderelay.core.Priority;
import graderelay.core.TaskBatchKey;
import graderelay.core.TaskBatchRecord;
import graderelay.features.ClusterLevel;
import graderelay.features.FeatureRange;
import graderelay.features.Member;
import graderelay.quota.Account;
import graderelay.quota.Amount;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests that the current codecs decode every field of records that the codecs of commit a8224e6
 * stored, see {@code src/test/resources/stored-records-a8224e6/README.md}. Unlike {@link
 * ProductionFormatsTest} it covers records that the version in production does not write: packed
 * task batches, final states with their time, stored limits and accounts, feature levels, members
 * and compact hints.
 */
class StoredRecordCompatibilityTest {
  private static final String RESOURCE_DIRECTORY = "/stored-records-a8224e6/";
  private static final long NOW_MS = 1_760_000_000_000L;
  private static final long REVISION = 77;

  /** Attempts of nine stored tasks, which are queued, claimed, done or retried. */
  private static final int[] ATTEMPTS = {0, 1, 2, 3, 1, 0, 4, 2, 1};

  private static final String[] MACHINES = {
    null, "n-000100", "n-000101", null, "n-000100", null, "n-000101", "n-000100", null
  };
  private static final long[] SESSIONS = {0, 3, 1, 0, 3, 0, 2, 4, 0};
  private static final boolean[] DONE = {
    false, false, false, true, false, false, false, false, true
  };

  private static byte[] bytes(String file) {
    try (InputStream in =
        StoredRecordCompatibilityTest.class.getResourceAsStream(RESOURCE_DIRECTORY + file)) {
      assertThat(in).as(file).isNotNull();
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode record(String name) {
    JsonNode n = Json.read(bytes(name + ".json"));
    assertThat(n).as(name).isNotNull();
    return n;
  }

  /** Returns the keys of {@code keys.txt} by name. */
  private static Map<String, String> keys() {
    Map<String, String> keys = new LinkedHashMap<>();
    for (String line : new String(bytes("keys.txt"), StandardCharsets.UTF_8).split("\n")) {
      int space = line.indexOf(' ');
      keys.put(line.substring(0, space), line.substring(space + 1));
    }
    return keys;
  }

  private static JobSpec fullJob(String id) {
    return new JobSpec(
        id,
        "render-final",
        "blue team",
        JobKind.SERVICE,
        Priority.URGENT,
        12,
        3.5,
        2,
        12.25,
        "img-11",
        2.75,
        List.of("gpu-node", "wide-node"),
        "tacoma",
        true,
        true,
        false,
        120.5,
        30,
        6.5,
        3600.25,
        NOW_MS - 90_000,
        250,
        List.of("j-000005", "j-000006"));
  }

  private static JobSpec plainJob(String id) {
    return new JobSpec(
        id,
        "frame-batch",
        "harbor",
        JobKind.ARRAY,
        Priority.LOW,
        1200,
        8,
        0,
        26,
        "img-07",
        1.8,
        null,
        null,
        false,
        false,
        true,
        40,
        20,
        4,
        null,
        NOW_MS,
        500,
        List.of());
  }

  private static void assertMixedBatch(TaskBatchRecord decoded, String name) {
    assertThat(decoded.size()).as(name).isEqualTo(ATTEMPTS.length);
    for (int i = 0; i < ATTEMPTS.length; i++) {
      assertThat(decoded.attempt(i)).as(name + " attempt " + i).isEqualTo(ATTEMPTS[i]);
      assertThat(decoded.machine(i)).as(name + " machine " + i).isEqualTo(MACHINES[i]);
      assertThat(decoded.session(i)).as(name + " session " + i).isEqualTo(SESSIONS[i]);
      assertThat(decoded.done(i)).as(name + " done " + i).isEqualTo(DONE[i]);
    }
  }

  private static void assertImages(Map<String, List<String>> decoded) {
    assertThat(decoded)
        .containsOnlyKeys("n-000100", "n-000101", "n-000102")
        .containsEntry("n-000100", List.of("img-07", "img-11"))
        .containsEntry("n-000101", List.of("img-11"))
        .containsEntry("n-000102", List.of());
  }

  private static void assertDemand(List<Action.Demand> decoded) {
    assertThat(decoded).hasSize(2);
    assertThat(decoded.get(0).latest()).isEqualTo(plainJob("j-0"));
    assertThat(decoded.get(0).arrivals()).hasSize(2);
    assertThat(decoded.get(0).arrivals().get(0)).containsExactly(4.5, 60);
    assertThat(decoded.get(0).arrivals().get(1)).containsExactly(61.25, 12);
    assertThat(decoded.get(1).latest()).isEqualTo(fullJob("j-0").withDependencies(List.of()));
    assertThat(decoded.get(1).arrivals()).hasSize(1);
    assertThat(decoded.get(1).arrivals().get(0)).containsExactly(0, 3);
  }

  @Test
  void electionRecordsAreDecodedWithEveryField() {
    assertThat(StateCodec.decodeLeader(record("owner")))
        .isEqualTo(new StateCodec.LeaderRecord("m-2", 57, "10.0.0.3:8081"));
    JsonNode term = record("term");
    assertThat(term.path("term").asLong()).isEqualTo(57);
    assertThat(term.path("member").asText()).isEqualTo("m-2");
    assertThat(record("suspension-standing").path("leaving").asText()).isEmpty();
    assertThat(record("suspension-leaving").path("leaving").asText()).isEqualTo("7c41d9");
    JsonNode delegate = record("lease-delegate");
    assertThat(delegate.path("self").asText()).isEqualTo("7c41d9");
    assertThat(delegate.path("n").asLong()).isEqualTo(23);
    assertThat(delegate.path("of").asLong()).isEqualTo(64);
    assertThat(delegate.path("alone").asDouble()).isEqualTo(3.75);
  }

  @Test
  void jobsAreDecodedWithEveryFieldAndStopRequest() {
    assertThat(StateCodec.decodeJob("j-000007", record("job-full-stopped")))
        .isEqualTo(fullJob("j-000007"));
    assertThat(StateCodec.decodeStopRequested(record("job-full-stopped"))).isTrue();
    assertThat(StateCodec.decodeJob("j-000008", record("job-plain")))
        .isEqualTo(plainJob("j-000008"));
    assertThat(StateCodec.decodeStopRequested(record("job-plain"))).isFalse();
  }

  @Test
  void taskBatchesInEachFormAreDecodedForEveryTask() {
    assertMixedBatch(StateCodec.decodeTaskBatch(record("slice-plain")), "plain");
    assertMixedBatch(StateCodec.decodeTaskBatch(record("slice-packed")), "packed");
    TaskBatchRecord done = StateCodec.decodeTaskBatch(record("slice-done"));
    assertThat(done.size()).isEqualTo(500);
    assertThat(done.doneCount()).isEqualTo(500);
    assertThat(done.claimedCount()).isZero();
    for (int i = 0; i < done.size(); i++) {
      assertThat(done.attempt(i)).isZero();
      assertThat(done.session(i)).isZero();
    }
  }

  @Test
  void finalStatesAreDecodedWithWriteTime() {
    assertThat(StateCodec.decodeFinalState(record("end-done")))
        .isEqualTo(new FinalState(false, 60, NOW_MS));
    assertThat(StateCodec.decodeFinalState(record("end-cancelled")))
        .isEqualTo(new FinalState(true, 6, NOW_MS + 1));
  }

  @Test
  void leaderHintsAreDecodedInPlainAndCompactForm() throws MalformedRecordException {
    assertImages(StateCodec.decodeImages(record("images")));
    assertImages(StateCodec.decodeImages(CompactHintCodec.decode(record("hints-images"))));
    assertDemand(StateCodec.decodeDemand(record("demand"), NOW_MS));
    assertDemand(StateCodec.decodeDemand(CompactHintCodec.decode(record("hints-demand")), NOW_MS));
  }

  @Test
  void storedLimitsAndAccountsAreDecodedWithEveryField() {
    LimitRecord limits = QuotaCodec.decodeLimits(record("quota-limit"), REVISION);
    assertThat(limits.isReadable()).isTrue();
    assertThat(limits)
        .isEqualTo(
            LimitRecord.of(
                new TeamQuota(new Amount(4_000, 1_000), new Amount(16_500, 2_000)),
                REVISION,
                "ops@site",
                NOW_MS));
    Account account = QuotaCodec.decodeAccount(record("quota-account"), REVISION);
    assertThat(account.isReadable()).isTrue();
    assertThat(account).isEqualTo(Account.of(new Amount(2_500, 500), "m-2/7c41d9/12", REVISION));
  }

  @Test
  void featureLevelsAndMembersAreDecodedWithEveryField() throws MalformedRecordException {
    assertThat(FeatureCodec.decodeLevel(record("feature-level"))).isEqualTo(ClusterLevel.of(2));
    assertThat(FeatureCodec.decodeLevel(record("feature-level-lowering")))
        .isEqualTo(new ClusterLevel(2, 1));
    assertThat(FeatureCodec.decodeMember("m-2", record("feature-member"), REVISION))
        .isEqualTo(
            new Member("m-2", "1.8.0", new FeatureRange(0, 2), "7c41d9", NOW_MS - 5_000, REVISION));
  }

  @Test
  void keyFunctionsReproduceAndParseStoredKeys() {
    Map<String, String> keys = keys();
    assertThat(keys)
        .containsOnlyKeys(
            "job", "end", "slice", "suspension", "quota-limit", "quota-account", "feature-member");
    assertThat(StateCodec.parseTaskBatchKey(keys.get("slice")))
        .isEqualTo(new TaskBatchKey("j-000007", 3));
    assertThat(QuotaCodec.parseTeam(keys.get("quota-limit"), QuotaCodec.LIMITS))
        .isEqualTo("blue team/ä");
    assertThat(QuotaCodec.parseTeam(keys.get("quota-account"), QuotaCodec.ACCOUNTS))
        .isEqualTo("blue team/ä");
    assertThat(keys.get("job")).isEqualTo(StateCodec.jobKey("j-000007"));
    assertThat(keys.get("end")).isEqualTo(StateCodec.finalStateKey("j-000007"));
    assertThat(keys.get("slice"))
        .isEqualTo(StateCodec.taskBatchKey(new TaskBatchKey("j-000007", 3)));
    assertThat(keys.get("suspension")).isEqualTo(StateCodec.suspensionKey("m-2"));
    assertThat(keys.get("quota-limit")).isEqualTo(QuotaCodec.limitKey("blue team/ä"));
    assertThat(keys.get("quota-account")).isEqualTo(QuotaCodec.accountKey("blue team/ä"));
    assertThat(keys.get("feature-member")).isEqualTo(FeatureCodec.memberKey("m-2"));
  }
}

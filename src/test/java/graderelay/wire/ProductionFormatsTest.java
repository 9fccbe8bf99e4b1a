package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.OperatorSettings;
import graderelay.core.Action;
import graderelay.core.JobKind;
import graderelay.core.JobSpec;
import graderelay.core.KnownCancellations;
import graderelay.core.Priority;
import graderelay.core.TaskBatchKey;
import graderelay.core.TaskBatchRecord;
import graderelay.net.Exchange.Response;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Tests compatibility with the version in production: its records and messages are decoded, and
 * records and messages that it may read contain no field that it does not support, except the time
 * of a final state.
 */
class ProductionFormatsTest {
  private static final long NOW_MS = 1_700_000_000_000L;
  private static final int LARGE_RECORD_BYTES = 16 * 1024;
  private static final byte[] BODY = "{\"saw\":\"n-000100\"}".getBytes(StandardCharsets.UTF_8);
  private static final KnownCancellations CANCELLATIONS =
      new KnownCancellations(true, 512.5, 1.25, List.of("j-000003", "j-000005"));

  /** Requests between controllers by name in the messages file. */
  private static final Map<String, PeerRequest> REQUESTS =
      Map.of(
          "promise",
          new PeerRequest.Pledge("m-1", 41, 0.6),
          "keep",
          new PeerRequest.LeaderlessPledge("m-2", 0.6),
          "share",
          new PeerRequest.LendWriteCapacity("m-1", 41, 2.25),
          "handover",
          new PeerRequest.Handover("m-1", 41, 7),
          "deputy",
          new PeerRequest.Delegation("m-0", "3fe0a1", 17, 40, 12.5, 2.5),
          "report",
          new PeerRequest.RelayedHeartbeat("m-2", BODY),
          "user",
          new PeerRequest.RelayedUserRequest("POST", "/v1/jobs", BODY),
          "admin",
          new PeerRequest.RelayedAdminRequest("GET", "/admin/jobs", "most=10", BODY));

  /** Responses between controllers by name in the messages file. */
  private static final Map<String, PeerResponse> RESPONSES =
      Map.of(
          "promise answer",
          new PeerResponse.PledgeResponse(true, false, CANCELLATIONS),
          "promise refusal",
          new PeerResponse.PledgeResponse(false, true, CANCELLATIONS),
          "keep answer",
          new PeerResponse.PledgeResponse(true, false, CANCELLATIONS),
          "share answer",
          new PeerResponse.LendWriteCapacityResponse(3.5),
          "handover answer",
          new PeerResponse.HandoverResponse(),
          "deputy answer",
          new PeerResponse.DelegationResponse(new PeerResponse.Grant(41, 40, 99.5), CANCELLATIONS),
          "deputy refusal",
          new PeerResponse.DelegationResponse(null, CANCELLATIONS),
          "report answer",
          new PeerResponse.RelayedResponse(Response.json(200, BODY)),
          "user answer",
          new PeerResponse.RelayedResponse(Response.unavailable(503, Json.errorBody("try later"))),
          "admin answer",
          new PeerResponse.RelayedResponse(Response.json(200, BODY)));

  private static JobSpec storedJob(String id) {
    return StateCodec.decodeJob(id, ProductionFormats.record(StateCodec.jobKey(id)));
  }

  private static TaskBatchRecord storedTaskBatch(String job, int index) {
    return StateCodec.decodeTaskBatch(
        ProductionFormats.record(StateCodec.taskBatchKey(new TaskBatchKey(job, index))));
  }

  private static Set<String> fields(JsonNode n) {
    Set<String> names = new TreeSet<>();
    n.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static void assertSameBytesAsStored(String key, JsonNode written) {
    assertThat(new String(Json.write(written), StandardCharsets.UTF_8))
        .as(key)
        .isEqualTo(new String(ProductionFormats.records().get(key), StandardCharsets.UTF_8));
  }

  // ---------------------------------------------------------------- stored records

  @Test
  void storedJobsAreDecodedWithEveryField() {
    JobSpec service = storedJob("j-000002");
    assertThat(service)
        .isEqualTo(
            new JobSpec(
                "j-000002",
                "preview",
                "harbor",
                JobKind.SERVICE,
                Priority.PROD,
                6,
                2.5,
                1,
                4.1,
                "img-08",
                1.5,
                List.of("mid-node", "wide-node"),
                "duluth",
                true,
                true,
                false,
                0,
                0,
                0,
                900.5,
                NOW_MS,
                500,
                List.of()));
    assertThat(storedJob("j-000001").deadlineS()).isNull();
    assertThat(storedJob("j-000001").types()).isNull();
    assertThat(StateCodec.decodeStopRequested(ProductionFormats.record("g/job/j-000003"))).isTrue();
    assertThat(StateCodec.decodeStopRequested(ProductionFormats.record("g/job/j-000001")))
        .isFalse();
  }

  @Test
  void storedTaskBatchesAreDecodedForEveryTask() {
    TaskBatchRecord largest = storedTaskBatch("j-000001", 0);
    assertThat(largest.size()).isEqualTo(500);
    for (int i = 0; i < 500; i++) {
      boolean claimed = i % 5 < 3 && i % 13 > 0;
      assertThat(largest.attempt(i)).isEqualTo(i % 13);
      assertThat(largest.done(i)).isEqualTo(i % 5 == 4);
      assertThat(largest.machine(i))
          .isEqualTo(claimed ? String.format("n-%06d", 100 + i / 4) : null);
      assertThat(largest.session(i)).isEqualTo(claimed ? 1 + i / 4 % 3 : 0);
    }
    assertThat(storedTaskBatch("j-000003", 0).claimedCount()).isEqualTo(4);
    assertThat(storedTaskBatch("j-000001", 1).doneCount()).isEqualTo(500);
  }

  @Test
  void storedFinalStatesLeaderAndHintsAreDecoded() {
    assertThat(StateCodec.decodeFinalState(ProductionFormats.record("g/end/j-000004")))
        .isEqualTo(new FinalState(false, 60, 0));
    assertThat(StateCodec.decodeFinalState(ProductionFormats.record("g/end/j-000005")))
        .isEqualTo(new FinalState(true, 6, 0));
    assertThat(StateCodec.decodeLeader(ProductionFormats.record(StateCodec.LEADER)))
        .isEqualTo(new StateCodec.LeaderRecord("m-1", 41, "10.0.0.2:8081"));
    assertThat(StateCodec.decodeImages(ProductionFormats.record("g/images/0")))
        .isEqualTo(
            Map.of(
                "n-000100",
                List.of("img-07", "img-08"),
                "n-000101",
                List.of("img-08"),
                "n-000102",
                List.of()));
    List<Action.Demand> demand =
        StateCodec.decodeDemand(ProductionFormats.record(StateCodec.DEMAND), NOW_MS);
    assertThat(demand).hasSize(1);
    assertThat(demand.get(0).latest().jobClass()).isEqualTo("frame-batch");
    assertThat(demand.get(0).arrivals().get(1)).containsExactly(61.25, 12);
  }

  @Test
  void reservedTermsDifferFromProductionBytesByOneAddedFieldOnly() {
    ObjectNode written = StateCodec.encodeTerm(new StateCodec.TermRecord(2, 41, "m-1"));
    assertThat(written.remove("first").asLong()).isEqualTo(2);
    assertSameBytesAsStored("g/term", written);
    assertThat(StateCodec.decodeTerm(ProductionFormats.record("g/term")))
        .isEqualTo(new StateCodec.TermRecord(41, 41, "m-1"));
  }

  @Test
  void recordsReadableByProductionVersionAreWrittenWithIdenticalBytes() {
    assertSameBytesAsStored(
        "g/owner",
        StateCodec.encodeLeader(new StateCodec.LeaderRecord("m-1", 41, "10.0.0.2:8081")));
    assertSameBytesAsStored(
        "g/term", StateCodec.encodeTerm(new StateCodec.TermRecord(41, 41, "m-1")));
    assertSameBytesAsStored("g/bar/m-2", StateCodec.encodeSuspension(""));
    assertSameBytesAsStored("g/bar/m-0", StateCodec.encodeSuspension("3fe0a1"));
    assertSameBytesAsStored(
        "g/deputy/m-0", StateCodec.encodeDelegateRelease("3fe0a1", 17, 40, 2.5));
    assertSameBytesAsStored("g/job/j-000001", StateCodec.encodeJob(storedJob("j-000001"), false));
    assertSameBytesAsStored("g/job/j-000002", StateCodec.encodeJob(storedJob("j-000002"), false));
    assertSameBytesAsStored("g/job/j-000003", StateCodec.encodeJob(storedJob("j-000003"), true));
    assertSameBytesAsStored(
        "g/slice/j-000003/0", StateCodec.encodeTaskBatch(storedTaskBatch("j-000003", 0)));
    assertSameBytesAsStored(
        "g/slice/j-000001/0", StateCodec.encodeTaskBatch(storedTaskBatch("j-000001", 0)));
    assertSameBytesAsStored(
        "g/slice/j-000001/1", StateCodec.encodeTaskBatch(storedTaskBatch("j-000001", 1)));
    OperatorSettings defaults = OperatorSettings.defaults(500, "info");
    assertSameBytesAsStored(
        "g/settings",
        OperatorSettings.fromStored(ProductionFormats.record("g/settings"), defaults, 500)
            .toJson());
    List<Action.Demand> demand = new ArrayList<>();
    demand.add(
        new Action.Demand(
            StateCodec.decodeJob(
                    "j-000001", ProductionFormats.record("g/demand").at("/classes/0/latest"))
                .withDependencies(List.of("j-000009")),
            List.of(new double[] {4.5, 60}, new double[] {61.25, 12})));
    assertSameBytesAsStored(
        "g/demand", StateCodec.encodeDemand(demand, NOW_MS, LARGE_RECORD_BYTES));
    Map<String, List<String>> images =
        new java.util.TreeMap<>(StateCodec.decodeImages(ProductionFormats.record("g/images/0")));
    assertSameBytesAsStored("g/images/0", StateCodec.encodeImages(images, 60));
    StateCodec.decodeImages(StateCodec.encodeImages(images, 60, LARGE_RECORD_BYTES))
        .forEach(
            (machine, names) ->
                assertThat(names).containsExactlyInAnyOrderElementsOf(images.get(machine)));
  }

  /**
   * The write time of a final state is the only field that the version in production may read but
   * does not support.
   */
  @Test
  void finalStateHasOnlyWriteTimeInAdditionToProductionVersion() {
    JsonNode old = ProductionFormats.record("g/end/j-000004");
    JsonNode written = StateCodec.encodeFinalState(false, 60, NOW_MS);
    Set<String> added = fields(written);
    added.removeAll(fields(old));
    assertThat(added).containsExactly("at");
    fields(old).forEach(f -> assertThat(written.get(f)).isEqualTo(old.get(f)));
  }

  // ---------------------------------------------------------------- messages

  @Test
  void messagesAreEncodedWithIdenticalBytes() {
    REQUESTS.forEach(
        (name, request) ->
            assertThat(PeerCodec.encodeRequest(request))
                .as(name)
                .isEqualTo(ProductionFormats.messages().get(name)));
    RESPONSES.forEach(
        (name, response) ->
            assertThat(PeerCodec.encodeResponse(response))
                .as(name)
                .isEqualTo(ProductionFormats.messages().get(name)));
    assertThat(REQUESTS.size() + RESPONSES.size()).isEqualTo(ProductionFormats.messages().size());
  }

  @Test
  void messagesOfProductionVersionAreDecoded() {
    REQUESTS.forEach(
        (name, request) ->
            assertThat(PeerCodec.decodeRequest(ProductionFormats.messages().get(name)))
                .as(name)
                .usingRecursiveComparison()
                .isEqualTo(request));
    RESPONSES.forEach(
        (name, response) -> {
          byte[] sent = ProductionFormats.messages().get(name);
          PeerResponse decoded =
              switch (name.substring(0, name.indexOf(' '))) {
                case "promise", "keep" -> PeerCodec.decodePledgeResponse(sent);
                case "share" -> PeerCodec.decodeLendWriteCapacityResponse(sent);
                case "handover" -> PeerCodec.decodeHandoverResponse(sent);
                case "deputy" -> PeerCodec.decodeDelegationResponse(sent);
                default -> PeerCodec.decodeRelayedResponse(sent);
              };
          assertThat(decoded).as(name).usingRecursiveComparison().isEqualTo(response);
        });
  }

  @Test
  void absentResponseFieldsMeanNotGrantedAndNoKnownCancellations() {
    byte[] empty = Json.writeCbor(Json.object());
    assertThat(PeerCodec.decodePledgeResponse(empty))
        .isEqualTo(new PeerResponse.PledgeResponse(false, false, KnownCancellations.NONE));
    assertThat(PeerCodec.decodeDelegationResponse(empty))
        .isEqualTo(new PeerResponse.DelegationResponse(null, KnownCancellations.NONE));
    assertThat(PeerCodec.decodePledgeResponse(Json.writeCbor(Json.object().put("granted", true))))
        .isEqualTo(new PeerResponse.PledgeResponse(true, false, KnownCancellations.NONE));
    assertThat(PeerCodec.decodeRelayedResponse(empty)).isNull();
  }

  @Test
  void unknownMessagesAndInvalidCborDecodeToNull() {
    assertThat(PeerCodec.decodeRequest(Json.writeCbor(Json.object()))).isNull();
    assertThat(PeerCodec.decodeRequest(Json.writeCbor(Json.object().put("kind", "later"))))
        .isNull();
    byte[] notCbor = {(byte) 0xff, 0};
    assertThat(PeerCodec.decodeRequest(notCbor)).isNull();
    assertThat(PeerCodec.decodePledgeResponse(notCbor)).isNull();
    assertThat(PeerCodec.decodeLendWriteCapacityResponse(notCbor)).isNull();
    assertThat(PeerCodec.decodeHandoverResponse(notCbor)).isNull();
    assertThat(PeerCodec.decodeDelegationResponse(notCbor)).isNull();
    assertThat(PeerCodec.decodeRelayedResponse(notCbor)).isNull();
  }
}

package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Heartbeat;
import graderelay.core.JobKind;
import graderelay.core.JobSpec;
import graderelay.core.ListedMachine;
import graderelay.core.MachineType;
import graderelay.core.Priority;
import graderelay.core.WorkerCommand;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that the protocol's example messages of users, workers and the cloud are decoded, and that
 * messages to them have the expected bytes.
 */
class DeploymentProtocolTest {
  private static final String SUBMISSION =
      "{\"ref\":\"j-000412\",\"lot\":\"train\",\"crew\":\"vision\",\"cut\":\"array\","
          + "\"urgency\":\"urgent\",\"boards\":16,\"cpus\":8.0,\"cards\":1.0,\"mem_gb\":64.0,"
          + "\"blade\":\"img-07\",\"pull_gb\":6.2,\"rigs\":[\"g8\"],\"yard\":null,"
          + "\"one_zone\":true,\"apart\":false,\"borrowed\":true,\"expected_s\":240.0,"
          + "\"stack_s\":30.0,\"stack_write_s\":4.0,\"ship_s\":900.0,"
          + "\"awaits\":[\"j-000003\",\"j-000001\",\"j-000003\"]}";

  private static final List<WorkerCommand> COMMANDS =
      List.of(
          new WorkerCommand.Launch("j-000412/4", 2),
          new WorkerCommand.Kill("j-000377/1", 1, 10),
          new WorkerCommand.Reap("j-000398/0", 1));

  private static final String COMMANDS_JSON =
      "[{\"order\":\"launch\",\"board\":\"j-000412/4\",\"pass\":2},"
          + "{\"order\":\"kill\",\"board\":\"j-000377/1\",\"pass\":1,\"wind_down_s\":10.0},"
          + "{\"order\":\"reap\",\"board\":\"j-000398/0\",\"pass\":1}]";

  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String text(JsonNode n) {
    return new String(Json.write(n), StandardCharsets.UTF_8);
  }

  // ---------------------------------------------------------------- users

  @Test
  void submissionIsDecodedWithEveryField() throws BadRequestException {
    assertThat(UserCodec.decodeSubmission(json(SUBMISSION), 1234, 500))
        .isEqualTo(
            new JobSpec(
                "j-000412",
                "train",
                "vision",
                JobKind.ARRAY,
                Priority.URGENT,
                16,
                8,
                1,
                64,
                "img-07",
                6.2,
                List.of("g8"),
                null,
                true,
                false,
                true,
                240,
                30,
                4,
                900.0,
                1234,
                500,
                List.of("j-000003", "j-000001")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "ref|412|ref must be a string that is not empty",
        "ref|'\"x\"'|ref must look like j-000412",
        "cut|'\"board\"'|cut must be array or standing",
        "urgency|'\"high\"'|urgency must be prod, urgent, normal or low",
        "boards|0|boards must be between 1 and 100000",
        "boards|1.5|boards must be an integer",
        "cpus|0|cpus must be a number above 0",
        "cards|-1|cards must be a number of at least 0",
        "borrowed|1|borrowed must be true or false",
        "lot|null|lot is missing",
        "rigs|5|rigs must be null or a list of machine types",
        "rigs|[5]|rigs must hold strings of at most 128",
        "awaits|5|awaits must be null or a list of job ids",
        "awaits|'[\"x\"]'|awaits must hold ids like j-000412",
        "awaits|'[\"j-000412\"]'|awaits must not name the job itself"
      })
  void invalidSubmissionFieldIsReportedByName(String field, String value, String message) {
    ObjectNode body = (ObjectNode) json(SUBMISSION);
    body.set(field, json(value));
    assertThatThrownBy(() -> UserCodec.decodeSubmission(body, 1234, 500))
        .isInstanceOf(BadRequestException.class)
        .hasMessage(message);
  }

  @Test
  void invalidKindIsReportedBeforeOtherInvalidFields() {
    ObjectNode body = (ObjectNode) json(SUBMISSION);
    body.put("cut", "board").put("lot", "");
    assertThatThrownBy(() -> UserCodec.decodeSubmission(body, 1234, 500))
        .hasMessage("cut must be array or standing");
  }

  @Test
  void userResponsesUseWireNames() {
    assertThat(text(UserCodec.encodeStage("j-000412", "pending")))
        .isEqualTo("{\"ref\":\"j-000412\",\"stage\":\"pending\"}");
    assertThat(text(UserCodec.encodeStatus("j-000412", "running", 3, 13)))
        .isEqualTo("{\"ref\":\"j-000412\",\"stage\":\"running\",\"done\":3,\"running\":13}");
  }

  // ---------------------------------------------------------------- workers

  @Test
  void heartbeatIsDecodedWithEveryField() {
    JsonNode body =
        json(
            "{\"saw\":\"n-000231\",\"address\":\"10.1.0.232:9000\",\"rig\":\"g8\","
                + "\"yard\":\"a\",\"borrowed\":true,\"shift\":1,\"tally\":88,\"foreman\":41,"
                + "\"recall_s\":30.5,\"boards\":["
                + "{\"board\":\"j-000412/3\",\"pass\":2,\"stage\":\"running\"},"
                + "{\"board\":\"j-000412/4\",\"pass\":1,\"stage\":\"pulling\"},"
                + "{\"board\":\"j-000412/5\",\"pass\":1,\"stage\":\"saving\"},"
                + "{\"board\":\"j-000398/0\",\"pass\":1,\"stage\":\"exited\","
                + "\"cause\":\"stopped\",\"saved\":true}]}");
    assertThat(WorkerCodec.decodeHeartbeat(body))
        .isEqualTo(
            new Heartbeat(
                "n-000231",
                "10.1.0.232:9000",
                "g8",
                "a",
                true,
                1,
                88,
                41,
                30.5,
                List.of(
                    new Heartbeat.TaskStatus("j-000412/3", 2, Heartbeat.Stage.RUNNING, "", false),
                    new Heartbeat.TaskStatus("j-000412/4", 1, Heartbeat.Stage.FETCHING, "", false),
                    new Heartbeat.TaskStatus("j-000412/5", 1, Heartbeat.Stage.SAVING, "", false),
                    new Heartbeat.TaskStatus(
                        "j-000398/0", 1, Heartbeat.Stage.EXITED, "stopped", true))));
  }

  @ParameterizedTest
  @CsvSource({"saw", "address", "rig", "yard", "shift", "tally", "foreman"})
  void heartbeatWithoutRequiredFieldIsRejected(String field) {
    ObjectNode body =
        (ObjectNode)
            json(
                "{\"saw\":\"n\",\"address\":\"x\",\"rig\":\"g8\",\"yard\":\"a\",\"shift\":1,"
                    + "\"tally\":88,\"foreman\":41}");
    assertThat(WorkerCodec.decodeHeartbeat(body)).isNotNull();
    body.remove(field);
    assertThat(WorkerCodec.decodeHeartbeat(body)).isNull();
    assertThat(WorkerCodec.decodeHeartbeat(null)).isNull();
  }

  @Test
  void workerCommandsUseWireNames() {
    assertThat(text(WorkerCodec.encodeHeartbeatResponse(41, COMMANDS, 10)))
        .isEqualTo("{\"foreman\":41,\"orders\":" + COMMANDS_JSON + "}");
    assertThat(text(WorkerCodec.encodeCommands(41, 3, COMMANDS)))
        .isEqualTo("{\"foreman\":41,\"shift\":3,\"orders\":" + COMMANDS_JSON + "}");
    assertThat(WorkerCodec.encodeHeartbeatResponse(41, COMMANDS, 2).path("orders")).hasSize(2);
  }

  @Test
  void redirectNamesControllerIfOneIsGiven() {
    assertThat(text(WorkerCodec.encodeRedirect("mill-2"))).isEqualTo("{\"foreman_at\":\"mill-2\"}");
    assertThat(text(WorkerCodec.encodeRedirect(null))).isEqualTo("{}");
  }

  // ---------------------------------------------------------------- the cloud

  @Test
  void machineTypesAreDecodedWithPrices() {
    JsonNode response =
        json(
            "{\"rigs\":[{\"sku\":\"g8\",\"cpus\":96,\"cards\":8,\"mem_gb\":768,"
                + "\"cache_gb\":200,\"pull_gb_per_s\":1.5,\"price\":12.0,"
                + "\"market_price\":4.5,\"ready_s\":45,\"yards\":[\"a\",\"b\"]}]}");
    assertThat(CloudCodec.decodeMachineTypes(response))
        .containsExactly(new MachineType("g8", 96, 8, 768, 1.5, 12, 4.5, 45, List.of("a", "b")));
  }

  @Test
  void pageOfMachinesIsDecoded() {
    JsonNode response =
        json(
            "{\"saws\":[{\"ref\":\"n-000231\",\"address\":\"10.1.0.232:9000\",\"rig\":\"g8\","
                + "\"yard\":\"a\",\"borrowed\":true,\"stage\":\"running\",\"age_s\":61.5}],"
                + "\"truncated\":true}");
    assertThat(CloudCodec.decodeMachines(response))
        .containsExactly(
            new ListedMachine("n-000231", "10.1.0.232:9000", "g8", "a", true, "running", 61.5));
    assertThat(CloudCodec.decodeTruncated(response)).isTrue();
    assertThat(CloudCodec.decodeTruncated(json("{}"))).isFalse();
  }

  @Test
  void scaleOutAndScaleInRequestsUseWireNames() {
    assertThat(text(CloudCodec.encodeScaleOut("r-17", "g8", "a", true, 12)))
        .isEqualTo(
            "{\"hire\":\"r-17\",\"rig\":\"g8\",\"yard\":\"a\",\"borrowed\":true,"
                + "\"how_many\":12}");
    JsonNode names = CloudCodec.encodeMachineNames(List.of("n-000231", "n-000232"));
    assertThat(text(names)).isEqualTo("{\"saws\":[\"n-000231\",\"n-000232\"]}");
    assertThat(CloudCodec.decodeMachineNames(names)).containsExactly("n-000231", "n-000232");
  }

  @Test
  void onlyNoCapacityErrorIsDecodedAsNoCapacity() {
    assertThat(CloudCodec.decodeNoCapacity(json("{\"error\":\"no capacity\"}"))).isTrue();
    assertThat(CloudCodec.decodeNoCapacity(json("{\"error\":\"trouble\"}"))).isFalse();
    assertThat(CloudCodec.decodeNoCapacity(json("{}"))).isFalse();
    assertThat(CloudCodec.decodeNoCapacity(null)).isFalse();
  }
}

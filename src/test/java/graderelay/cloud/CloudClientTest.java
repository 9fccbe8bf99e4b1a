package graderelay.cloud;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.cloud.CloudClient.ScaleOutResult;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the result of a scale-out for each kind of response of the cloud. */
class CloudClientTest {
  private static final int SCALE_OUT_ATTEMPTS = 3;

  private int calls;

  @Test
  void noCapacityEndsScaleOutWithoutRetry() {
    ScaleOutResult result = scaleOut(503, "{\"error\":\"no capacity\"}");
    assertThat(result).isEqualTo(new ScaleOutResult(null, true));
    assertThat(calls).isEqualTo(1);
  }

  @Test
  void otherErrorsAreRetriedAndThenLeaveOutcomeUnknown() {
    for (String body : List.of("", "null", "[]", "not JSON", "{}", "{\"error\":\"busy\"}")) {
      calls = 0;
      assertThat(scaleOut(503, body)).as(body).isEqualTo(new ScaleOutResult(null, false));
      assertThat(calls).as(body).isEqualTo(SCALE_OUT_ATTEMPTS);
    }
  }

  @Test
  void noCapacityErrorIsRecognizedOnlyWithStatus503() {
    ScaleOutResult result = scaleOut(500, "{\"error\":\"no capacity\"}");
    assertThat(result).isEqualTo(new ScaleOutResult(null, false));
    assertThat(calls).isEqualTo(SCALE_OUT_ATTEMPTS);
  }

  @Test
  void successfulScaleOutReturnsMachineNames() {
    ScaleOutResult result = scaleOut(200, "{\"saws\":[\"n-1\",\"n-2\"]}");
    assertThat(result).isEqualTo(new ScaleOutResult(List.of("n-1", "n-2"), false));
    assertThat(calls).isEqualTo(1);
  }

  private ScaleOutResult scaleOut(int status, String body) {
    Reply reply = new Reply(status, body.getBytes(StandardCharsets.UTF_8), true);
    CloudClient client =
        new CloudClient(new ImmediateLoop(), respondingTransport(reply), "cloud:1", 100);
    List<ScaleOutResult> results = new ArrayList<>();
    client.scaleOut("scale-out-1", "small", "zone-1", false, 2, results::add);
    assertThat(results).hasSize(1);
    return results.get(0);
  }

  private Transport respondingTransport(Reply reply) {
    return (String address,
        String method,
        String path,
        byte[] body,
        double timeoutS,
        Consumer<Reply> done) -> {
      calls++;
      done.accept(reply);
    };
  }

  /** Event loop whose clock does not advance and whose timers run immediately. */
  private static final class ImmediateLoop implements Loop {
    @Override
    public double now() {
      return 0;
    }

    @Override
    public long wallClockMs() {
      return 0;
    }

    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public Timer schedule(double seconds, Runnable task) {
      task.run();
      return () -> {};
    }
  }
}

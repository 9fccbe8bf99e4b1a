package graderelay.cloud;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.cloud.CloudClient.ScaledOut;
import graderelay.net.Loop;
import graderelay.net.Reply;
import graderelay.net.Transport;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** How a scale-out ends for each kind of answer of the cloud. */
class CloudClientTest {
  private static final int SCALE_OUT_ATTEMPTS = 3;

  private int calls;

  @Test
  void anEmptyPoolEndsTheScaleOutAtOnce() {
    ScaledOut result = scaleOut(503, "{\"error\":\"no capacity\"}");
    assertThat(result).isEqualTo(new ScaledOut(null, true));
    assertThat(calls).isEqualTo(1);
  }

  @Test
  void anyOtherRefusalIsRepeatedAndThenUnknown() {
    for (String body : List.of("", "null", "[]", "not JSON", "{}", "{\"error\":\"busy\"}")) {
      calls = 0;
      assertThat(scaleOut(503, body)).as(body).isEqualTo(new ScaledOut(null, false));
      assertThat(calls).as(body).isEqualTo(SCALE_OUT_ATTEMPTS);
    }
  }

  @Test
  void noCapacityCountsOnlyInAnUnavailableAnswer() {
    ScaledOut result = scaleOut(500, "{\"error\":\"no capacity\"}");
    assertThat(result).isEqualTo(new ScaledOut(null, false));
    assertThat(calls).isEqualTo(SCALE_OUT_ATTEMPTS);
  }

  @Test
  void theNewMachinesAreNamed() {
    ScaledOut result = scaleOut(200, "{\"saws\":[\"n-1\",\"n-2\"]}");
    assertThat(result).isEqualTo(new ScaledOut(List.of("n-1", "n-2"), false));
    assertThat(calls).isEqualTo(1);
  }

  private ScaledOut scaleOut(int status, String body) {
    Reply reply = new Reply(status, body.getBytes(StandardCharsets.UTF_8), true);
    CloudClient client = new CloudClient(new ImmediateLoop(), answering(reply), "cloud:1", 100);
    List<ScaledOut> results = new ArrayList<>();
    client.scaleOut("scale-out-1", "small", "zone-1", false, 2, results::add);
    assertThat(results).hasSize(1);
    return results.get(0);
  }

  private Transport answering(Reply reply) {
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

  /** Stands still, and runs timers at once. */
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

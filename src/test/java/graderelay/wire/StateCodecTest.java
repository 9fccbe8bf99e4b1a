package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.StateCodec.DelegateRelease;
import graderelay.wire.StateCodec.Suspension;
import graderelay.wire.StateCodec.TermRecord;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests that election records and final states have the expected bytes and round-trip. */
class StateCodecTest {
  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String text(JsonNode n) {
    return new String(Json.write(n), StandardCharsets.UTF_8);
  }

  @Test
  void termRoundTrips() {
    TermRecord single = new TermRecord(41, 41, "m-1");
    JsonNode written = StateCodec.encodeTerm(single);
    assertThat(text(written)).isEqualTo("{\"term\":41,\"member\":\"m-1\"}");
    assertThat(StateCodec.decodeTerm(written)).isEqualTo(single);
    assertThat(StateCodec.decodeTerm(json("{}"))).isEqualTo(new TermRecord(0, 0, ""));
  }

  @Test
  void reservedTermsRoundTrip() {
    TermRecord reserved = new TermRecord(41, 140, "m-1");
    JsonNode written = StateCodec.encodeTerm(reserved);
    assertThat(text(written)).isEqualTo("{\"term\":140,\"member\":\"m-1\",\"first\":41}");
    assertThat(StateCodec.decodeTerm(written)).isEqualTo(reserved);
  }

  @Test
  void suspensionRoundTrips() {
    JsonNode written = StateCodec.encodeSuspension("3fe0a1");
    assertThat(text(written)).isEqualTo("{\"leaving\":\"3fe0a1\"}");
    assertThat(StateCodec.decodeSuspension(written, 7)).isEqualTo(new Suspension("3fe0a1", 7));
    assertThat(StateCodec.decodeSuspension(json("{}"), 7)).isEqualTo(new Suspension("", 7));
  }

  @Test
  void delegateReleaseRoundTrips() {
    JsonNode written = StateCodec.encodeDelegateRelease("3fe0a1", 17, 40, 2.5);
    assertThat(text(written)).isEqualTo("{\"self\":\"3fe0a1\",\"n\":17,\"of\":40,\"alone\":2.5}");
    assertThat(StateCodec.decodeDelegateRelease(written))
        .isEqualTo(new DelegateRelease("3fe0a1", 17, 40, 2.5));
  }

  @Test
  void finalStateRoundTrips() {
    JsonNode done = StateCodec.encodeFinalState(false, 60, 1234);
    assertThat(text(done)).isEqualTo("{\"end\":\"done\",\"tasks\":60,\"at\":1234}");
    assertThat(StateCodec.decodeFinalState(done)).isEqualTo(new FinalState(false, 60, 1234));
    JsonNode cancelled = StateCodec.encodeFinalState(true, 6, 1235);
    assertThat(text(cancelled)).isEqualTo("{\"end\":\"cancelled\",\"tasks\":6,\"at\":1235}");
    assertThat(StateCodec.decodeFinalState(cancelled)).isEqualTo(new FinalState(true, 6, 1235));
  }

  @Test
  void finalStateWithoutWriteTimeDecodesToTimeZero() {
    assertThat(StateCodec.decodeFinalState(json("{\"end\":\"done\",\"tasks\":60}")))
        .isEqualTo(new FinalState(false, 60, 0));
  }
}

package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;

/** Errors carry the field that is wrong, and tell it in the text that senders have always got. */
class TypedErrorsTest {
  @Test
  void badFieldIsCarriedAndNamed() {
    BadRequest missing =
        catchThrowableOfType(
            () -> UserCodec.decodeSubmission(Json.object(), 0, 1), BadRequest.class);
    assertThat(missing.field()).isEqualTo("ref");
    assertThat(missing).hasMessage("ref is missing");
  }

  @Test
  void badBodyIsAboutNoField() {
    BadRequest notAnObject =
        catchThrowableOfType(
            () -> UserCodec.decodeSubmission(Json.array(), 0, 1), BadRequest.class);
    assertThat(notAnObject.field()).isNull();
    assertThat(notAnObject).hasMessage("the body must be a JSON object");
  }

  @Test
  void malformedRecordCarriesItsField() {
    MalformedRecord above =
        catchThrowableOfType(
            () -> FeatureCodec.decodeLevel(Json.object().put("level", 1).put("target", 2)),
            MalformedRecord.class);
    assertThat(above.field()).isEqualTo("target");
    assertThat(above).hasMessage("target is 2, above level 1");
  }
}

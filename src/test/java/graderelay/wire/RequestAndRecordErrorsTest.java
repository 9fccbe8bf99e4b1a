package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import org.junit.jupiter.api.Test;

/** Tests that errors about requests and records name the invalid field, with unchanged messages. */
class RequestAndRecordErrorsTest {
  @Test
  void badRequestNamesMissingField() {
    BadRequestException exception =
        catchThrowableOfType(
            () -> UserCodec.decodeSubmission(Json.object(), 0, 1), BadRequestException.class);
    assertThat(exception.field()).isEqualTo("ref");
    assertThat(exception).hasMessage("ref is missing");
  }

  @Test
  void badRequestForInvalidBodyHasNoField() {
    BadRequestException exception =
        catchThrowableOfType(
            () -> UserCodec.decodeSubmission(Json.array(), 0, 1), BadRequestException.class);
    assertThat(exception.field()).isNull();
    assertThat(exception).hasMessage("the body must be a JSON object");
  }

  @Test
  void malformedRecordNamesField() {
    MalformedRecordException exception =
        catchThrowableOfType(
            () -> FeatureCodec.decodeLevel(Json.object().put("level", 1).put("target", 2)),
            MalformedRecordException.class);
    assertThat(exception.field()).isEqualTo("target");
    assertThat(exception).hasMessage("target is 2, above level 1");
  }
}

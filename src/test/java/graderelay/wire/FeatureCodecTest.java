package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.features.ClusterLevel;
import graderelay.features.FeatureRange;
import graderelay.features.Member;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that records of feature levels and compact hints round-trip and that malformed ones are
 * rejected.
 */
class FeatureCodecTest {
  private static com.fasterxml.jackson.databind.JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  @Property(seed = "7", tries = 200)
  void levelRoundTrips(@ForAll @IntRange(max = 9) int level, @ForAll @IntRange(max = 9) int target)
      throws MalformedRecordException {
    ClusterLevel clusterLevel = new ClusterLevel(level, Math.min(level, target));
    assertThat(FeatureCodec.decodeLevel(FeatureCodec.encodeLevel(clusterLevel)))
        .isEqualTo(clusterLevel);
  }

  @Test
  void memberRoundTrips() throws MalformedRecordException {
    Member member = new Member("m-1", "0.1.0", new FeatureRange(0, 2), "abc", 1234, 5);
    assertThat(FeatureCodec.decodeMember("m-1", FeatureCodec.encodeMember(member), 5))
        .isEqualTo(member);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"min\":2,\"max\":1,\"version\":\"1\",\"incarnation\":\"a\",\"began\":1}|min is 2",
        "{\"min\":0,\"max\":\"x\",\"version\":\"1\",\"incarnation\":\"a\",\"began\":1}|max must be",
        "{\"min\":0,\"max\":1,\"version\":\"\",\"incarnation\":\"a\",\"began\":1}|version must be",
        "{\"min\":0,\"max\":1,\"version\":\"1\",\"began\":1}|incarnation must be",
        "{\"min\":0,\"max\":1,\"version\":\"1\",\"incarnation\":\"a\"}|began must be",
        "{}|min must be"
      })
  void malformedMemberErrorNamesField(String record, String message) {
    assertThatThrownBy(() -> FeatureCodec.decodeMember("m-1", json(record), 1))
        .isInstanceOf(MalformedRecordException.class)
        .hasMessageContaining(message);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{}|level",
        "{\"level\":1.5}|level",
        "{\"level\":1,\"target\":2}|target",
        "[]|level"
      })
  void malformedLevelErrorNamesField(String record, String field) {
    assertThatThrownBy(() -> FeatureCodec.decodeLevel(json(record)))
        .isInstanceOf(MalformedRecordException.class)
        .hasMessageContaining(field);
  }

  /** Returns {@code count} machines, each with a pseudorandom subset of 12 images. */
  private static Map<String, List<String>> imagesByMachine(int first, int count) {
    Map<String, List<String>> machines = new TreeMap<>();
    for (int i = first; i < first + count; i++) {
      List<String> images = new ArrayList<>();
      for (int k = 0; k < 12; k++) {
        if ((i * 2654435761L >> k & 3) == 0) {
          images.add("img-" + k);
        }
      }
      machines.put(String.format("n-%06d", i), images);
    }
    return machines;
  }

  @Property(seed = "7", tries = 100)
  void compactHintDecodesToSameImagesAsPlainHint(@ForAll @IntRange(max = 400) int n)
      throws MalformedRecordException {
    ObjectNode plain = StateCodec.encodeImages(imagesByMachine(n, n), 60);
    assertThat(StateCodec.decodeImages(CompactHintCodec.decode(CompactHintCodec.encode(plain))))
        .isEqualTo(StateCodec.decodeImages(plain));
  }

  @Test
  void compactHintIsLessThanHalfTheSizeOfPlainHintForRandomImages() {
    ObjectNode plain = StateCodec.encodeImages(imagesByMachine(0, 250), 60);
    int compact = Json.write(CompactHintCodec.encode(plain)).length;
    assertThat(compact * 2).isLessThan(Json.write(plain).length);
  }

  @ParameterizedTest
  @CsvSource({"{}", "'{\"z\":\"!\"}'", "'{\"z\":\"AAAA\"}'", "'{\"z\":5}'"})
  void invalidCompactHintIsRejected(String record) {
    assertThatThrownBy(() -> CompactHintCodec.decode(json(record)))
        .isInstanceOf(MalformedRecordException.class);
  }
}

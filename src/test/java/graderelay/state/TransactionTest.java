package graderelay.state;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.Json;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Requests for transactions have the stated bytes. */
class TransactionTest {
  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String text(JsonNode n) {
    return new String(Json.write(n), StandardCharsets.UTF_8);
  }

  @Test
  void transactionHasTheBytesOfItsTreeBefore() {
    Transaction txn =
        new Transaction()
            .when("a/b", 0)
            .when("c", 412)
            .put("a/b", json("{\"x\":1}"), 7)
            .put("c", json("2"))
            .delete("c/d");
    assertThat(txn.changeCount()).isEqualTo(3);
    assertThat(text(txn.encode()))
        .isEqualTo(
            "{\"if\":[{\"key\":\"a/b\",\"mark\":0},{\"key\":\"c\",\"mark\":412}],"
                + "\"then\":[{\"put\":\"a/b\",\"data\":{\"x\":1},\"permit\":7},"
                + "{\"put\":\"c\",\"data\":2},{\"drop\":\"c/d\"}]}");
  }

  @Test
  void transactionThatOnlyComparesHasNoChanges() {
    assertThat(text(new Transaction().when("a", 1).encode()))
        .isEqualTo("{\"if\":[{\"key\":\"a\",\"mark\":1}]}");
    assertThat(text(new Transaction().encode())).isEqualTo("{\"if\":[]}");
  }
}

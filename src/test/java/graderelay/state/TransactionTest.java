package graderelay.state;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.Json;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Transactions are encoded to exactly the bytes that the store expects. */
class TransactionTest {
  private static JsonNode parse(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String serialize(JsonNode node) {
    return new String(Json.write(node), StandardCharsets.UTF_8);
  }

  @Test
  void transactionIsEncodedToExpectedBytes() {
    Transaction transaction =
        new Transaction()
            .when("a/b", 0)
            .when("c", 412)
            .put("a/b", parse("{\"x\":1}"), 7)
            .put("c", parse("2"))
            .delete("c/d");
    assertThat(transaction.changeCount()).isEqualTo(3);
    assertThat(serialize(transaction.encode()))
        .isEqualTo(
            "{\"if\":[{\"key\":\"a/b\",\"mark\":0},{\"key\":\"c\",\"mark\":412}],"
                + "\"then\":[{\"put\":\"a/b\",\"data\":{\"x\":1},\"permit\":7},"
                + "{\"put\":\"c\",\"data\":2},{\"drop\":\"c/d\"}]}");
  }

  @Test
  void readOnlyTransactionIsEncodedWithoutChanges() {
    assertThat(serialize(new Transaction().when("a", 1).encode()))
        .isEqualTo("{\"if\":[{\"key\":\"a\",\"mark\":1}]}");
    assertThat(serialize(new Transaction().encode())).isEqualTo("{\"if\":[]}");
  }
}

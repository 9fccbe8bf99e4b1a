package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.wire.StoreCodec.RangeResponse;
import graderelay.wire.StoreCodec.StoreChange;
import graderelay.wire.StoreCodec.StoreEntry;
import graderelay.wire.StoreCodec.WatchResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests that the examples of the key-value store's protocol are decoded and that requests have the
 * expected bytes.
 */
class StoreCodecTest {
  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private static String text(JsonNode n) {
    return new String(Json.write(n), StandardCharsets.UTF_8);
  }

  @Test
  void entryIsDecodedWithRevisionAndSessionLease() {
    JsonNode response = json("{\"key\":\"a/b\",\"data\":{\"x\":1},\"mark\":412,\"permit\":7}");
    assertThat(StoreCodec.decodeEntry(response))
        .isEqualTo(new StoreEntry("a/b", json("{\"x\":1}"), 412, 7));
  }

  @Test
  void entryWithoutSessionLeaseHasLeaseZero() {
    assertThat(StoreCodec.decodeEntry(json("{\"key\":\"a\",\"data\":1,\"mark\":2}")).sessionLease())
        .isZero();
  }

  @Test
  void rangePageKeepsEntryOrderAndGivesNextPageKey() {
    RangeResponse page =
        StoreCodec.decodeRange(
            json(
                "{\"items\":[{\"key\":\"c/8\",\"data\":1,\"mark\":3},"
                    + "{\"key\":\"c/9\",\"data\":2,\"mark\":1}],"
                    + "\"truncated\":true,\"ledger\":431}"));
    assertThat(page.entries())
        .containsExactly(
            new StoreEntry("c/8", json("1"), 3, 0), new StoreEntry("c/9", json("2"), 1, 0));
    assertThat(page.storeRevision()).isEqualTo(431);
    assertThat(page.nextPageAfter()).isEqualTo("c/9");
  }

  @Test
  void lastPageAndEmptyPageHaveNoNextPageKey() {
    assertThat(StoreCodec.decodeRange(json("{\"items\":[{\"key\":\"c\"}]}")).nextPageAfter())
        .isNull();
    assertThat(StoreCodec.decodeRange(json("{\"items\":[],\"truncated\":true}")).nextPageAfter())
        .isNull();
    assertThat(StoreCodec.decodeRange(json("{}")))
        .isEqualTo(new RangeResponse(List.of(), false, 0));
  }

  @Test
  void watchKeepsOrderOfPutsAndDeletesAndSkipsUnknownChanges() {
    WatchResponse response =
        StoreCodec.decodeWatch(
            json(
                "{\"ledger\":433,\"news\":[{\"put\":\"c/9\",\"data\":{\"x\":1},\"mark\":433},"
                    + "{\"later\":\"c/8\",\"mark\":432},{\"drop\":\"c/d\",\"mark\":432}]}"));
    assertThat(response)
        .isEqualTo(
            new WatchResponse(
                433,
                List.of(
                    new StoreChange.Put("c/9", json("{\"x\":1}"), 433),
                    new StoreChange.Delete("c/d", 432))));
  }

  @Test
  void failedConditionsKeepTheirOrder() {
    assertThat(StoreCodec.decodeFailedConditions(json("{\"failed\":[\"b\",\"a\"],\"ledger\":431}")))
        .containsExactly("b", "a");
    assertThat(StoreCodec.decodeFailedConditions(json("{\"ledger\":431}"))).isEmpty();
  }

  @Test
  void leaseRequestIsEncodedAndLeaseIdDecoded() {
    assertThat(text(StoreCodec.encodeLeaseRequest(5000))).isEqualTo("{\"life_ms\":5000}");
    assertThat(StoreCodec.decodeSessionLease(json("{\"permit\":7}"))).isEqualTo(7);
    assertThat(StoreCodec.decodeSessionLease(json("{}"))).isZero();
  }

  @Test
  void onlyLeaseErrorIsDecodedAsLeaseExpired() {
    assertThat(StoreCodec.decodeLeaseExpired(json("{\"error\":\"no such lease\"}"))).isTrue();
    assertThat(StoreCodec.decodeLeaseExpired(json("{\"error\":\"too large\"}"))).isFalse();
    assertThat(StoreCodec.decodeLeaseExpired(json("{}"))).isFalse();
    assertThat(StoreCodec.decodeLeaseExpired(null)).isFalse();
  }

  @Test
  void absentStoreRevisionDecodesToZero() {
    assertThat(StoreCodec.decodeStoreRevision(json("{\"ledger\":432}"))).isEqualTo(432);
    assertThat(StoreCodec.decodeStoreRevision(json("{}"))).isZero();
    assertThat(StoreCodec.decodeStoreRevision(null)).isZero();
  }
}

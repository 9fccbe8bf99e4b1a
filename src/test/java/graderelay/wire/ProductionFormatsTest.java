package graderelay.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.OperatorSettings;
import graderelay.core.Action;
import graderelay.core.CancellationKnowledge;
import graderelay.core.JobSpec;
import graderelay.core.Kind;
import graderelay.core.Priority;
import graderelay.core.SliceKey;
import graderelay.core.SliceRecord;
import graderelay.net.Exchange.Answer;
import graderelay.state.Cache;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * The present version beside the version in production: it reads that one's records and messages,
 * and what it writes while that one may still read it has no field that that one lacks.
 */
class ProductionFormatsTest {
  private static final long NOW_MS = 1_700_000_000_000L;
  private static final int LARGE = 16 * 1024;
  private static final byte[] BODY = "{\"saw\":\"n-000100\"}".getBytes(StandardCharsets.UTF_8);
  private static final CancellationKnowledge WORD =
      new CancellationKnowledge(true, 512.5, 1.25, List.of("j-000003", "j-000005"));

  private static JobSpec storedJob(String id) {
    return StateCodec.job(id, ProductionFormats.record(StateCodec.jobKey(id)));
  }

  private static SliceRecord storedSlice(String job, int index) {
    return StateCodec.slice(
        ProductionFormats.record(StateCodec.sliceKey(new SliceKey(job, index))));
  }

  private static Set<String> fields(JsonNode n) {
    Set<String> names = new TreeSet<>();
    n.fieldNames().forEachRemaining(names::add);
    return names;
  }

  private static void assertStoredAs(String key, JsonNode written) {
    assertThat(new String(Json.write(written), StandardCharsets.UTF_8))
        .as(key)
        .isEqualTo(new String(ProductionFormats.records().get(key), StandardCharsets.UTF_8));
  }

  private static void assertSentAs(String name, JsonNode written) {
    assertThat(Json.writeCbor(written)).as(name).isEqualTo(ProductionFormats.messages().get(name));
  }

  // ---------------------------------------------------------------- stored records

  @Test
  void storedJobsAreReadWithEveryField() {
    JobSpec service = storedJob("j-000002");
    assertThat(service)
        .isEqualTo(
            new JobSpec(
                "j-000002",
                "preview",
                "harbor",
                Kind.SERVICE,
                Priority.PROD,
                6,
                2.5,
                1,
                4.1,
                "img-08",
                1.5,
                List.of("mid-node", "wide-node"),
                "duluth",
                true,
                true,
                false,
                0,
                0,
                0,
                900.5,
                NOW_MS,
                500,
                List.of()));
    assertThat(storedJob("j-000001").deadlineS()).isNull();
    assertThat(storedJob("j-000001").types()).isNull();
    assertThat(StateCodec.stopOf(ProductionFormats.record("g/job/j-000003"))).isTrue();
    assertThat(StateCodec.stopOf(ProductionFormats.record("g/job/j-000001"))).isFalse();
  }

  @Test
  void storedSlicesAreReadTaskByTask() {
    SliceRecord largest = storedSlice("j-000001", 0);
    assertThat(largest.size()).isEqualTo(500);
    for (int i = 0; i < 500; i++) {
      boolean claimed = i % 5 < 3 && i % 13 > 0;
      assertThat(largest.attempt(i)).isEqualTo(i % 13);
      assertThat(largest.done(i)).isEqualTo(i % 5 == 4);
      assertThat(largest.machine(i))
          .isEqualTo(claimed ? String.format("n-%06d", 100 + i / 4) : null);
      assertThat(largest.session(i)).isEqualTo(claimed ? 1 + i / 4 % 3 : 0);
    }
    assertThat(storedSlice("j-000003", 0).claimedCount()).isEqualTo(4);
    assertThat(storedSlice("j-000001", 1).doneCount()).isEqualTo(500);
  }

  @Test
  void storedEndsOwnersBarsAndHintsAreRead() {
    assertThat(Cache.endOf(ProductionFormats.record("g/end/j-000004")))
        .isEqualTo(new Cache.End(false, 60, 0));
    assertThat(Cache.endOf(ProductionFormats.record("g/end/j-000005")))
        .isEqualTo(new Cache.End(true, 6, 0));
    assertThat(StateCodec.owner(ProductionFormats.record(StateCodec.OWNER)))
        .isEqualTo(new StateCodec.Owner("m-1", 41, "10.0.0.2:8081"));
    assertThat(StateCodec.images(ProductionFormats.record("g/images/0")))
        .isEqualTo(
            Map.of(
                "n-000100",
                List.of("img-07", "img-08"),
                "n-000101",
                List.of("img-08"),
                "n-000102",
                List.of()));
    List<Action.Demand> demand =
        StateCodec.demand(ProductionFormats.record(StateCodec.DEMAND), NOW_MS);
    assertThat(demand).hasSize(1);
    assertThat(demand.get(0).latest().jobClass()).isEqualTo("frame-batch");
    assertThat(demand.get(0).arrivals().get(1)).containsExactly(61.25, 12);
  }

  @Test
  void whatAnOldControllerMayReadIsWrittenByteForByteAsItWouldWriteIt() {
    assertStoredAs("g/owner", StateCodec.owner(new StateCodec.Owner("m-1", 41, "10.0.0.2:8081")));
    assertStoredAs("g/term", StateCodec.term(41, "m-1"));
    assertStoredAs("g/bar/m-2", StateCodec.bar(""));
    assertStoredAs("g/bar/m-0", StateCodec.bar("3fe0a1"));
    assertStoredAs("g/deputy/m-0", StateCodec.deputy("3fe0a1", 17, 40, 2.5));
    assertStoredAs("g/job/j-000001", StateCodec.job(storedJob("j-000001"), false));
    assertStoredAs("g/job/j-000002", StateCodec.job(storedJob("j-000002"), false));
    assertStoredAs("g/job/j-000003", StateCodec.job(storedJob("j-000003"), true));
    assertStoredAs("g/slice/j-000003/0", StateCodec.slice(storedSlice("j-000003", 0)));
    assertStoredAs("g/slice/j-000001/0", StateCodec.slice(storedSlice("j-000001", 0)));
    assertStoredAs("g/slice/j-000001/1", StateCodec.slice(storedSlice("j-000001", 1)));
    OperatorSettings defaults = OperatorSettings.defaults(500, "info");
    assertStoredAs(
        "g/settings",
        OperatorSettings.stored(ProductionFormats.record("g/settings"), defaults, 500).json());
    List<Action.Demand> demand = new ArrayList<>();
    demand.add(
        new Action.Demand(
            StateCodec.job("j-000001", ProductionFormats.record("g/demand").at("/classes/0/latest"))
                .needing(List.of("j-000009")),
            List.of(new double[] {4.5, 60}, new double[] {61.25, 12})));
    assertStoredAs("g/demand", StateCodec.demand(demand, NOW_MS, LARGE));
    Map<String, List<String>> images =
        new java.util.TreeMap<>(StateCodec.images(ProductionFormats.record("g/images/0")));
    assertStoredAs("g/images/0", StateCodec.images(images, 60));
    StateCodec.images(StateCodec.images(images, 60, LARGE))
        .forEach(
            (machine, names) ->
                assertThat(names).containsExactlyInAnyOrderElementsOf(images.get(machine)));
  }

  /** The time of an end is the one field that an old controller may see and does not know. */
  @Test
  void anEndHasOneFieldMoreThanAnOldControllerKnowsAndItsOwnAreAsBefore() {
    JsonNode old = ProductionFormats.record("g/end/j-000004");
    JsonNode written = StateCodec.end(false, 60, NOW_MS);
    Set<String> added = fields(written);
    added.removeAll(fields(old));
    assertThat(added).containsExactly("at");
    fields(old).forEach(f -> assertThat(written.get(f)).isEqualTo(old.get(f)));
  }

  // ---------------------------------------------------------------- messages

  @Test
  void messagesAreSentByteForByteAsBefore() {
    assertSentAs("promise", MeshCodec.promise("m-1", 41, 0.6));
    assertSentAs("promise answer", MeshCodec.word(MeshCodec.promised(true, false), WORD));
    assertSentAs("promise refusal", MeshCodec.word(MeshCodec.promised(false, true), WORD));
    assertSentAs("keep", MeshCodec.keep("m-2", 0.6));
    assertSentAs("keep answer", MeshCodec.word(MeshCodec.promised(true, false), WORD));
    assertSentAs("share", MeshCodec.share("m-1", 41, 2.25));
    assertSentAs("share answer", MeshCodec.shared(3.5));
    assertSentAs("handover", MeshCodec.handover("m-1", 41, 7));
    assertSentAs("handover answer", Json.object());
    assertSentAs("deputy", MeshCodec.deputy("m-0", "3fe0a1", 17, 40, 12.5, 2.5));
    assertSentAs("deputy answer", MeshCodec.word(MeshCodec.granted(41, 40, 99.5), WORD));
    assertSentAs("deputy refusal", MeshCodec.word(Json.object(), WORD));
    assertSentAs("report", MeshCodec.report("m-2", BODY));
    assertSentAs("report answer", MeshCodec.answer(Answer.json(200, BODY)));
    assertSentAs("user", MeshCodec.request(MeshCodec.USER, "POST", "/v1/jobs", BODY));
    assertSentAs("user answer", MeshCodec.answer(Answer.later(503, Json.error("try later"))));
    assertSentAs(
        "admin", MeshCodec.request(MeshCodec.ADMIN, "GET", "/admin/jobs", "most=10", BODY));
    assertSentAs("admin answer", MeshCodec.answer(Answer.json(200, BODY)));
  }

  @Test
  void messagesOfAnOldControllerAreRead() {
    assertThat(MeshCodec.word(ProductionFormats.message("promise answer"))).isEqualTo(WORD);
    assertThat(MeshCodec.word(ProductionFormats.message("deputy answer"))).isEqualTo(WORD);
    assertThat(MeshCodec.bytes(ProductionFormats.message("report"))).isEqualTo(BODY);
    assertThat(MeshCodec.answer(ProductionFormats.message("report answer")).status())
        .isEqualTo(200);
    Answer later = MeshCodec.answer(ProductionFormats.message("user answer"));
    assertThat(later.status()).isEqualTo(503);
    assertThat(later.retryAfterS()).isEqualTo(1);
    for (String name : ProductionFormats.messages().keySet()) {
      if (!name.contains(" ")) {
        assertThat(MeshCodec.kind(ProductionFormats.message(name))).isEqualTo(name);
      }
    }
  }

  @Test
  void anAnswerThatLacksWhatCameLaterVouchesForNothing() {
    assertThat(MeshCodec.word(Json.object().put("granted", true)))
        .isEqualTo(CancellationKnowledge.NONE);
    assertThat(MeshCodec.answer(Json.object())).isNull();
    assertThat(MeshCodec.kind(Json.object())).isEmpty();
  }
}

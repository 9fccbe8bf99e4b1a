package graderelay.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Action;
import graderelay.core.SchedulerLimits;
import graderelay.features.Feature;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.CompactHints;
import graderelay.wire.FeatureCodec;
import graderelay.wire.Json;
import graderelay.wire.MalformedRecord;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a leader keeps for the next one: the images on machines and the recent demand. Either form
 * is read; which one is written depends on {@link Feature#COMPACT_HINTS}. They are hints, so an
 * answer that is lost or a record that can't be read doesn't matter.
 */
final class LeaderHints {
  /** Images named in one of those records: a machine's are bits of one number. */
  private static final int KEPT_IMAGES = 60;

  /** The same for records in their compact form, at some 18 bytes a machine. */
  private static final int COMPACT_IMAGE_PARTS_PER_THOUSAND = 12;

  /** Times a value's size that a plain hint may have before its compact form is tried. */
  private static final int HINT_RATIO = 3;

  /** What of a plain hint is kept if its compact form does not fit a value. */
  private static final double HINT_KEPT = 0.75;

  private static final Logger LOG = LoggerFactory.getLogger("hints");

  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final int mostBytes;

  LeaderHints(StateClient state, Cache cache, Leadership leadership, int mostBytes) {
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.mostBytes = mostBytes;
  }

  private boolean compact() {
    return cache.features().gate().enabled(Feature.COMPACT_HINTS);
  }

  /** Records that share the images of each thousand machines. */
  int imagePartsPerThousand() {
    return compact() ? COMPACT_IMAGE_PARTS_PER_THOUSAND : SchedulerLimits.IMAGE_PARTS_PER_THOUSAND;
  }

  /** The images on machines in all records, the newer form last. */
  List<Map<String, List<String>>> images() {
    List<Map<String, List<String>>> all = new ArrayList<>();
    cache.hints().images().values().forEach(n -> all.add(StateCodec.decodeImages(n)));
    cache
        .hints()
        .compactHints()
        .forEach(
            (key, n) -> {
              JsonNode plain = key.startsWith(FeatureCodec.IMAGE_HINTS) ? unpacked(key, n) : null;
              if (plain != null) {
                all.add(StateCodec.decodeImages(plain));
              }
            });
    return all;
  }

  /** The recent demand, or null. */
  JsonNode demand() {
    JsonNode compact = cache.hints().compactHints().get(FeatureCodec.DEMAND_HINT);
    JsonNode plain = compact == null ? null : unpacked(FeatureCodec.DEMAND_HINT, compact);
    return plain == null ? cache.hints().demand() : plain;
  }

  private static JsonNode unpacked(String key, JsonNode compact) {
    try {
      return CompactHints.unpack(compact);
    } catch (MalformedRecord e) {
      LOG.warn("{} is left out: {}", key, e.getMessage());
      return null;
    }
  }

  void keepDemand(Action.KeepDemand k, long wallMs) {
    if (compact()) {
      IntFunction<ObjectNode> within = bytes -> StateCodec.encodeDemand(k.classes(), wallMs, bytes);
      put(FeatureCodec.DEMAND_HINT, packed(within));
    } else {
      put(StateCodec.DEMAND, StateCodec.encodeDemand(k.classes(), wallMs, mostBytes));
    }
  }

  void keepImages(Action.KeepImages k) {
    // By name, since neighbours in that order differ in little.
    Map<String, List<String>> machines = new TreeMap<>(k.machines());
    IntFunction<ObjectNode> within = bytes -> StateCodec.encodeImages(machines, KEPT_IMAGES, bytes);
    if (compact()) {
      put(FeatureCodec.IMAGE_HINTS + k.part(), packed(within));
    } else {
      put(StateCodec.IMAGES + k.part(), within.apply(mostBytes));
    }
  }

  /**
   * The compact form of as much as fits a value. How much that is depends on what is compressed.
   *
   * @param within makes the plain form in so many bytes
   */
  private ObjectNode packed(IntFunction<ObjectNode> within) {
    int plainBytes = mostBytes * HINT_RATIO;
    ObjectNode packed = CompactHints.pack(within.apply(plainBytes));
    while (Json.write(packed).length > mostBytes) {
      plainBytes = (int) (plainBytes * HINT_KEPT);
      packed = CompactHints.pack(within.apply(plainBytes));
    }
    return packed;
  }

  private void put(String key, ObjectNode value) {
    state.commit(
        new Transaction()
            .when(cache.election().leaderKey(), leadership.leaderRevision())
            .put(key, value),
        Use.SUBMISSION,
        r -> {});
  }
}

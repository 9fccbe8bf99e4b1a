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
 * Hints that a leader stores for the next one: the images on machines and the recent demand. Both
 * forms are read; which one is written depends on {@link Feature#COMPACT_HINTS}. A failover works
 * without them, so a write whose answer is lost or a record that can't be read doesn't matter.
 */
final class FailoverHints {
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

  /**
   * Makes the hints of one term.
   *
   * @param mostBytes the largest value that the store takes, in bytes
   */
  FailoverHints(StateClient state, Cache cache, Leadership leadership, int mostBytes) {
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.mostBytes = mostBytes;
  }

  private boolean writesCompactForm() {
    return cache.features().gate().isEnabled(Feature.COMPACT_HINTS);
  }

  /** Records that share the images of each thousand machines. */
  int imagePartsPerThousand() {
    return writesCompactForm()
        ? COMPACT_IMAGE_PARTS_PER_THOUSAND
        : SchedulerLimits.IMAGE_RECORDS_PER_THOUSAND_MACHINES;
  }

  /** The images on machines in all records, the newer form last. */
  List<Map<String, List<String>>> images() {
    List<Map<String, List<String>>> all = new ArrayList<>();
    cache.hints().images().values().forEach(plain -> all.add(StateCodec.decodeImages(plain)));
    cache
        .hints()
        .compactHints()
        .forEach(
            (key, compact) -> {
              JsonNode plain =
                  key.startsWith(FeatureCodec.IMAGE_HINTS) ? unpacked(key, compact) : null;
              if (plain != null) {
                all.add(StateCodec.decodeImages(plain));
              }
            });
    return all;
  }

  /**
   * The demand of the last minutes as the leader before has kept it; empty if it has kept none.
   *
   * @param wallMs the time of day now, in milliseconds since the epoch
   */
  List<Action.Demand> demand(long wallMs) {
    JsonNode compact = cache.hints().compactHints().get(FeatureCodec.DEMAND_HINT);
    JsonNode unpacked = compact == null ? null : unpacked(FeatureCodec.DEMAND_HINT, compact);
    JsonNode plain = unpacked == null ? cache.hints().demand() : unpacked;
    return plain == null ? List.of() : StateCodec.decodeDemand(plain, wallMs);
  }

  private static JsonNode unpacked(String key, JsonNode compact) {
    try {
      return CompactHints.unpack(compact);
    } catch (MalformedRecord e) {
      LOG.warn("{} is left out: {}", key, e.getMessage());
      return null;
    }
  }

  /**
   * Stores the demand of the last minutes.
   *
   * @param wallMs the time of day now, in milliseconds since the epoch
   */
  void keepDemand(Action.StoreDemand demand, long wallMs) {
    if (writesCompactForm()) {
      IntFunction<ObjectNode> within =
          bytes -> StateCodec.encodeDemand(demand.classes(), wallMs, bytes);
      put(FeatureCodec.DEMAND_HINT, packed(within));
    } else {
      put(StateCodec.DEMAND, StateCodec.encodeDemand(demand.classes(), wallMs, mostBytes));
    }
  }

  /** Stores the images on one part of the machines. */
  void keepImages(Action.StoreImages images) {
    // By name, since neighbours in that order differ in little.
    Map<String, List<String>> machines = new TreeMap<>(images.imagesByMachine());
    IntFunction<ObjectNode> within = bytes -> StateCodec.encodeImages(machines, KEPT_IMAGES, bytes);
    if (writesCompactForm()) {
      put(FeatureCodec.IMAGE_HINTS + images.shard(), packed(within));
    } else {
      put(StateCodec.IMAGES + images.shard(), within.apply(mostBytes));
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

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
  private static final int MAX_IMAGES_PER_RECORD = 60;

  /** The same for records in their compact form, at some 18 bytes a machine. */
  private static final int COMPACT_IMAGE_RECORDS_PER_THOUSAND_MACHINES = 12;

  /** Times a value's size that a plain hint may have before its compact form is tried. */
  private static final int INITIAL_PLAIN_SIZE_FACTOR = 3;

  /** What of a plain hint is kept if its compact form does not fit a value. */
  private static final double PLAIN_SIZE_REDUCTION_FACTOR = 0.75;

  private static final Logger LOG = LoggerFactory.getLogger("hints");

  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final int maxValueBytes;

  /**
   * Makes the hints of one term.
   *
   * @param mostBytes the largest value that the store takes, in bytes
   */
  FailoverHints(StateClient state, Cache cache, Leadership leadership, int maxValueBytes) {
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.maxValueBytes = maxValueBytes;
  }

  private boolean writesCompactForm() {
    return cache.features().gate().enabled(Feature.COMPACT_HINTS);
  }

  /** Records that share the images of each thousand machines. */
  int imageShardsPerThousandMachines() {
    return writesCompactForm()
        ? COMPACT_IMAGE_RECORDS_PER_THOUSAND_MACHINES
        : SchedulerLimits.IMAGE_RECORDS_PER_THOUSAND_MACHINES;
  }

  /** The images on machines in all records, the newer form last. */
  List<Map<String, List<String>>> storedImages() {
    List<Map<String, List<String>>> imagesByRecord = new ArrayList<>();
    cache
        .hints()
        .images()
        .values()
        .forEach(plainHint -> imagesByRecord.add(StateCodec.decodeImages(plainHint)));
    cache
        .hints()
        .compactHints()
        .forEach(
            (key, compactHint) -> {
              JsonNode plainHint =
                  key.startsWith(FeatureCodec.IMAGE_HINTS) ? unpackOrNull(key, compactHint) : null;
              if (plainHint != null) {
                imagesByRecord.add(StateCodec.decodeImages(plainHint));
              }
            });
    return imagesByRecord;
  }

  /**
   * The demand of the last minutes as the leader before has kept it; empty if it has kept none.
   *
   * @param wallMs the time of day now, in milliseconds since the epoch
   */
  List<Action.Demand> storedDemand(long wallMs) {
    JsonNode compactHint = cache.hints().compactHints().get(FeatureCodec.DEMAND_HINT);
    JsonNode unpacked =
        compactHint == null ? null : unpackOrNull(FeatureCodec.DEMAND_HINT, compactHint);
    JsonNode plainHint = unpacked == null ? cache.hints().demand() : unpacked;
    return plainHint == null ? List.of() : StateCodec.decodeDemand(plainHint, wallMs);
  }

  private static JsonNode unpackOrNull(String key, JsonNode compactHint) {
    try {
      return CompactHints.unpack(compactHint);
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
  void storeDemand(Action.StoreDemand demand, long wallMs) {
    if (writesCompactForm()) {
      IntFunction<ObjectNode> encodeWithin =
          bytes -> StateCodec.encodeDemand(demand.classes(), wallMs, bytes);
      put(FeatureCodec.DEMAND_HINT, packToFit(encodeWithin));
    } else {
      put(StateCodec.DEMAND, StateCodec.encodeDemand(demand.classes(), wallMs, maxValueBytes));
    }
  }

  /** Stores the images on one part of the machines. */
  void storeImages(Action.StoreImages images) {
    // By name, since neighbours in that order differ in little.
    Map<String, List<String>> imagesByMachine = new TreeMap<>(images.imagesByMachine());
    IntFunction<ObjectNode> encodeWithin =
        bytes -> StateCodec.encodeImages(imagesByMachine, MAX_IMAGES_PER_RECORD, bytes);
    if (writesCompactForm()) {
      put(FeatureCodec.IMAGE_HINTS + images.shard(), packToFit(encodeWithin));
    } else {
      put(StateCodec.IMAGES + images.shard(), encodeWithin.apply(maxValueBytes));
    }
  }

  /**
   * The compact form of as much as fits a value. How much that is depends on what is compressed.
   *
   * @param within makes the plain form in so many bytes
   */
  private ObjectNode packToFit(IntFunction<ObjectNode> encodeWithin) {
    int plainBytes = maxValueBytes * INITIAL_PLAIN_SIZE_FACTOR;
    ObjectNode packed = CompactHints.pack(encodeWithin.apply(plainBytes));
    while (Json.write(packed).length > maxValueBytes) {
      plainBytes = (int) (plainBytes * PLAIN_SIZE_REDUCTION_FACTOR);
      packed = CompactHints.pack(encodeWithin.apply(plainBytes));
    }
    return packed;
  }

  private void put(String key, ObjectNode value) {
    state.commit(
        new Transaction()
            .when(cache.election().leaderKey(), leadership.leaderRevision())
            .put(key, value),
        Use.SUBMISSION,
        result -> {});
  }
}

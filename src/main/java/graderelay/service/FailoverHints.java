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
 * Hints that a leader stores for its successor: the images on machines and the recent demand. Both
 * the plain and the compact form are read; which one is written depends on {@link
 * Feature#COMPACT_HINTS}. Failover does not depend on the hints, so a write with an unknown outcome
 * is not retried and a malformed record is ignored.
 */
final class FailoverHints {
  /**
   * The maximum number of distinct images in one record: the images of a machine are the bits of
   * one number.
   */
  private static final int MAX_IMAGES_PER_RECORD = 60;

  /**
   * The number of image records per 1,000 machines in the compact form, which takes about 18 bytes
   * per machine.
   */
  private static final int COMPACT_IMAGE_RECORDS_PER_THOUSAND_MACHINES = 12;

  /**
   * The size of the plain form at the first attempt to compact it, as a multiple of the maximum
   * value size.
   */
  private static final int INITIAL_PLAIN_SIZE_FACTOR = 3;

  /**
   * The factor by which the plain form is reduced when its compact form exceeds the maximum value
   * size.
   */
  private static final double PLAIN_SIZE_REDUCTION_FACTOR = 0.75;

  private static final Logger LOG = LoggerFactory.getLogger("hints");

  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final int maxValueBytes;

  /**
   * Creates the hints of one leader term.
   *
   * @param maxValueBytes the largest value that the store accepts, in bytes
   */
  FailoverHints(StateClient state, Cache cache, Leadership leadership, int maxValueBytes) {
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.maxValueBytes = maxValueBytes;
  }

  private boolean writesCompactForm() {
    return cache.features().gate().isEnabled(Feature.COMPACT_HINTS);
  }

  /** The number of image records per 1,000 machines. */
  int imageShardsPerThousandMachines() {
    return writesCompactForm()
        ? COMPACT_IMAGE_RECORDS_PER_THOUSAND_MACHINES
        : SchedulerLimits.IMAGE_RECORDS_PER_THOUSAND_MACHINES;
  }

  /**
   * The stored images by machine, one map for each record; records in the compact form come last.
   */
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
   * The recent demand that the previous leader stored; empty if there is none.
   *
   * @param wallMs the current wall-clock time, in milliseconds since the epoch
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
      LOG.warn("ignoring malformed hint record {}: {}", key, e.getMessage());
      return null;
    }
  }

  /**
   * Stores the recent demand.
   *
   * @param wallMs the current wall-clock time, in milliseconds since the epoch
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

  /** Stores the images of one shard of the machines. */
  void storeImages(Action.StoreImages images) {
    // Sorted by name, because names of adjacent machines then differ little and compress well.
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
   * Returns the compact form of as much of the hint as fits the maximum value size. Since the
   * compression ratio depends on the content, the plain form is reduced until the result fits.
   *
   * @param encodeWithin encodes the plain form in at most the given number of bytes
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

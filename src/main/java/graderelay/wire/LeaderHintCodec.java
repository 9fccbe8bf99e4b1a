package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Action;
import graderelay.core.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes the hints that a leader stores for its successor after failover, in plain form: the
 * recent demand by job class ({@code g/demand}) and which images machines have ({@code
 * g/images/PART}). Since they are only hints, content is omitted from a record that would be too
 * large.
 */
final class LeaderHintCodec {
  static final String CLASSES = "classes";
  static final String LATEST_JOB = "latest";
  static final String ARRIVALS = "arrivals";
  static final String IMAGE_NAMES = "images";
  static final String IMAGE_MASKS = "machines";

  /**
   * Id of a decoded latest job of a class, since its own id is not stored; no real job has this id.
   */
  private static final String PLACEHOLDER_JOB_ID = "j-0";

  private LeaderHintCodec() {}

  /**
   * Encodes the recent demand. Each arrival, given as [age in seconds, number of jobs], is stored
   * as [time in milliseconds since the epoch, number of jobs].
   */
  static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs) {
    ObjectNode n = Json.object();
    ArrayNode list = n.putArray(CLASSES);
    for (Action.Demand demand : classes) {
      ObjectNode jobClass = list.addObject();
      jobClass.set(
          LATEST_JOB, JobRecordCodec.encode(demand.latest().withDependencies(List.of()), false));
      ArrayNode arrivals = jobClass.putArray(ARRIVALS);
      for (double[] ageAndJobs : demand.arrivals()) {
        long arrivedAtMs = nowMs - (long) (ageAndJobs[0] * 1000);
        arrivals.addArray().add(arrivedAtMs).add((int) ageAndJobs[1]);
      }
    }
    return n;
  }

  /**
   * Encodes the recent demand in a record of at most {@code maxBytes}; omits the oldest arrivals
   * first, then whole classes.
   */
  static ObjectNode encodeDemand(List<Action.Demand> classes, long nowMs, int maxBytes) {
    int maxArrivals = classes.stream().mapToInt(d -> d.arrivals().size()).max().orElse(0);
    ObjectNode n = encodeDemand(classes, nowMs);
    while (Json.write(n).length > maxBytes) {
      ArrayNode list = (ArrayNode) n.get(CLASSES);
      maxArrivals /= 2;
      if (maxArrivals == 0 && list.size() > 0) {
        list.remove(list.size() - 1);
      }
      for (JsonNode jobClass : list) {
        ArrayNode arrivals = (ArrayNode) jobClass.get(ARRIVALS);
        while (arrivals.size() > Math.max(1, maxArrivals)) {
          arrivals.remove(arrivals.size() - 1);
        }
      }
    }
    return n;
  }

  /**
   * Decodes the recent demand, with each arrival as [age in seconds, at least 0; number of jobs].
   */
  static List<Action.Demand> decodeDemand(JsonNode n, long nowMs) {
    List<Action.Demand> classes = new ArrayList<>();
    for (JsonNode jobClass : n.path(CLASSES)) {
      List<double[]> arrivals = new ArrayList<>();
      for (JsonNode arrival : jobClass.path(ARRIVALS)) {
        double ageS = (nowMs - arrival.path(0).asLong()) / 1000.0;
        arrivals.add(new double[] {Math.max(0, ageS), arrival.path(1).asInt()});
      }
      JobSpec latest = JobRecordCodec.decode(PLACEHOLDER_JOB_ID, jobClass.path(LATEST_JOB));
      classes.add(new Action.Demand(latest, arrivals));
    }
    return classes;
  }

  /**
   * Encodes which images machines have, as a list of at most {@code maxImages} image names and a
   * bit mask over that list for each machine.
   */
  static ObjectNode encodeImages(Map<String, List<String>> imagesByMachine, int maxImages) {
    ObjectNode n = Json.object();
    ArrayNode names = n.putArray(IMAGE_NAMES);
    ObjectNode masks = n.putObject(IMAGE_MASKS);
    Map<String, Integer> indexByImage = new HashMap<>();
    imagesByMachine.forEach(
        (machine, images) -> {
          long mask = 0;
          for (String image : images) {
            Integer i = indexByImage.get(image);
            if (i == null && indexByImage.size() < maxImages) {
              i = indexByImage.size();
              indexByImage.put(image, i);
              names.add(image);
            }
            mask |= i == null ? 0 : 1L << i;
          }
          masks.put(machine, mask);
        });
    return n;
  }

  /**
   * Encodes which images machines have, in a record of at most {@code maxBytes}; omits machines if
   * necessary.
   */
  static ObjectNode encodeImages(
      Map<String, List<String>> imagesByMachine, int maxImages, int maxBytes) {
    Map<String, List<String>> included = new LinkedHashMap<>(imagesByMachine);
    ObjectNode n = encodeImages(included, maxImages);
    while (Json.write(n).length > maxBytes && !included.isEmpty()) {
      included
          .keySet()
          .removeAll(included.keySet().stream().limit(1 + included.size() / 8).toList());
      n = encodeImages(included, maxImages);
    }
    return n;
  }

  /** Decodes the images of each machine from the image names and the bit masks. */
  static Map<String, List<String>> decodeImages(JsonNode n) {
    Map<String, List<String>> imagesByMachine = new HashMap<>();
    JsonNode names = n.path(IMAGE_NAMES);
    n.path(IMAGE_MASKS)
        .fields()
        .forEachRemaining(
            machineMask -> {
              List<String> images = new ArrayList<>();
              for (int i = 0; i < names.size(); i++) {
                if ((machineMask.getValue().asLong() >> i & 1) != 0) {
                  images.add(names.get(i).asText().intern());
                }
              }
              imagesByMachine.put(machineMask.getKey(), images);
            });
    return imagesByMachine;
  }
}

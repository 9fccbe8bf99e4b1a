package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.ListedMachine;
import graderelay.core.MachineType;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes requests to the cloud's API and decodes its responses. The names that the API uses are
 * given in the comments on the keys below.
 */
public final class CloudCodec {
  /** Wire name "rigs": the machine types. */
  private static final String MACHINE_TYPES = "rigs";

  /** Wire name "sku": the name of a machine type. */
  private static final String TYPE_NAME = "sku";

  private static final String CPUS = "cpus";

  /** Wire name "cards": GPUs. */
  private static final String GPUS = "cards";

  private static final String MEMORY_GB = "mem_gb";

  /** Wire name "pull_gb_per_s": the rate at which a machine fetches images. */
  private static final String IMAGE_FETCH_GB_PER_S = "pull_gb_per_s";

  private static final String ON_DEMAND_PRICE = "price";

  /** Wire name "market_price": the current price of a spot instance. */
  private static final String SPOT_PRICE = "market_price";

  /** Wire name "ready_s": the nominal boot time in seconds. */
  private static final String BOOT_TIME_S = "ready_s";

  /** Wire name "yards": the zones that offer a machine type. */
  private static final String ZONES = "yards";

  /** Wire name "saws": machines. */
  private static final String MACHINES = "saws";

  /** Wire name "ref": the name of a machine. */
  private static final String MACHINE_NAME = "ref";

  private static final String ADDRESS = "address";

  /** Wire name "rig": the type of a machine. */
  private static final String MACHINE_TYPE = "rig";

  /** Wire name "yard": the zone of a machine. */
  private static final String ZONE = "yard";

  /** Wire name "borrowed": true for a spot instance. */
  private static final String SPOT = "borrowed";

  private static final String STATE = "stage";

  /** Wire name "age_s": seconds since the scale-out request that started the machine. */
  private static final String AGE_S = "age_s";

  /** Whether the list continues after this page. */
  private static final String TRUNCATED = "truncated";

  /** Wire name "hire": the unique name of a scale-out request, which makes it idempotent. */
  private static final String SCALE_OUT_NAME = "hire";

  /** Wire name "how_many": the number of machines to create. */
  private static final String MACHINE_COUNT = "how_many";

  private static final String ERROR = "error";

  /**
   * The error text if the cloud has no machine left of the requested type and pricing in the zone.
   */
  private static final String NO_CAPACITY = "no capacity";

  private CloudCodec() {}

  /** Decodes the machine types that the cloud offers, with their current prices. */
  public static List<MachineType> decodeMachineTypes(JsonNode n) {
    List<MachineType> types = new ArrayList<>();
    for (JsonNode t : n.path(MACHINE_TYPES)) {
      List<String> zones = new ArrayList<>();
      t.path(ZONES).forEach(z -> zones.add(z.asText()));
      types.add(
          new MachineType(
              t.path(TYPE_NAME).asText(),
              t.path(CPUS).asDouble(),
              t.path(GPUS).asDouble(),
              t.path(MEMORY_GB).asDouble(),
              t.path(IMAGE_FETCH_GB_PER_S).asDouble(),
              t.path(ON_DEMAND_PRICE).asDouble(),
              t.path(SPOT_PRICE).asDouble(),
              t.path(BOOT_TIME_S).asDouble(),
              List.copyOf(zones)));
    }
    return types;
  }

  /** Decodes one page of the list of machines, in the order of their names. */
  public static List<ListedMachine> decodeMachines(JsonNode n) {
    List<ListedMachine> list = new ArrayList<>();
    for (JsonNode m : n.path(MACHINES)) {
      list.add(
          new ListedMachine(
              m.path(MACHINE_NAME).asText(),
              m.path(ADDRESS).asText(),
              m.path(MACHINE_TYPE).asText(),
              m.path(ZONE).asText(),
              m.path(SPOT).asBoolean(),
              m.path(STATE).asText(),
              m.path(AGE_S).asDouble()));
    }
    return list;
  }

  /** Whether the list continues after this page. */
  public static boolean decodeTruncated(JsonNode n) {
    return n.path(TRUNCATED).asBoolean(false);
  }

  /**
   * Encodes a request to create {@code count} machines. The cloud creates no more machines if a
   * request is repeated under the same name, so {@code name} must not be reused for a different
   * request.
   */
  public static ObjectNode encodeScaleOut(
      String name, String type, String zone, boolean spot, int count) {
    return Json.object()
        .put(SCALE_OUT_NAME, name)
        .put(MACHINE_TYPE, type)
        .put(ZONE, zone)
        .put(SPOT, spot)
        .put(MACHINE_COUNT, count);
  }

  /** Decodes the names of the machines that a scale-out request created. */
  public static List<String> decodeMachineNames(JsonNode n) {
    List<String> names = new ArrayList<>();
    n.path(MACHINES).forEach(m -> names.add(m.asText()));
    return names;
  }

  /** Encodes a request to delete machines. */
  public static ObjectNode encodeMachineNames(List<String> names) {
    ObjectNode n = Json.object();
    var a = n.putArray(MACHINES);
    names.forEach(a::add);
    return n;
  }

  /**
   * Whether the error response to a scale-out request reports that no such machine is left; false
   * for null.
   */
  public static boolean decodeNoCapacity(JsonNode errorResponse) {
    return errorResponse != null && errorResponse.path(ERROR).asText().equals(NO_CAPACITY);
  }
}

package graderelay.wire;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Action;
import graderelay.core.JobSpec;
import graderelay.core.Kind;
import graderelay.core.Priority;
import graderelay.core.TaskBatchKey;
import graderelay.core.TaskBatchRecord;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The records that controllers keep in the state service, and their keys. */
public final class StateCodec {
  /** Everything that one watch should follow. */
  public static final String ROOT = "g/";

  public static final String OWNER = "g/owner";
  public static final String TERM = "g/term";
  public static final String SETTINGS = "g/settings";
  public static final String DEMAND = "g/demand";
  public static final String JOBS = "g/job/";
  public static final String SLICES = "g/slice/";

  public static final String IMAGES = "g/images/";

  /** Grants that deputies have given back. */
  public static final String DEPUTIES = "g/deputy/";

  /** Controllers that may not take over for the time being. */
  public static final String BARS = "g/bar/";

  /** Final states; kept for good and never listed. */
  public static final String ENDS = "g/end/";

  private StateCodec() {}

  public static String jobKey(String id) {
    return JOBS + id;
  }

  public static String endKey(String id) {
    return ENDS + id;
  }

  public static String sliceKey(TaskBatchKey k) {
    return SLICES + k.job() + "/" + k.index();
  }

  public static TaskBatchKey sliceOf(String key) {
    int slash = key.lastIndexOf('/');
    return new TaskBatchKey(
        key.substring(SLICES.length(), slash), Integer.parseInt(key.substring(slash + 1)));
  }

  /** Who owns the fleet. */
  public record Owner(String member, long term, String address) {}

  public static ObjectNode owner(Owner o) {
    return Json.object().put("member", o.member()).put("term", o.term()).put("mesh", o.address());
  }

  public static Owner owner(JsonNode n) {
    return new Owner(n.path("member").asText(), n.path("term").asLong(), n.path("mesh").asText());
  }

  /**
   * A bar on a controller that is silent.
   *
   * @param leaving the process of it that is about to leave the bar, or empty while it stands
   */
  public record Bar(String leaving, long mark) {}

  public static String barKey(String member) {
    return BARS + member;
  }

  public static ObjectNode bar(String leaving) {
    return Json.object().put("leaving", leaving);
  }

  /** A deputy has given back all grants up to that of its question {@code n}. */
  public static ObjectNode leaseDelegate(String self, long n, long of, double aloneS) {
    return Json.object().put("self", self).put("n", n).put("of", of).put("alone", aloneS);
  }

  /** The counter of terms, and who won the last one. */
  public static ObjectNode term(long term, String member) {
    return Json.object().put("term", term).put("member", member);
  }

  /** A job's record: its terms, and whether its user asked to stop it. */
  public static ObjectNode job(JobSpec s, boolean stop) {
    ObjectNode n = Json.object();
    n.put("class", s.jobClass()).put("team", s.team()).put("kind", s.kind().name());
    n.put("priority", s.priority().name()).put("tasks", s.tasks());
    n.put("cpus", s.cpus()).put("gpus", s.gpus()).put("mem", s.memGb());
    n.put("image", s.image()).put("imageGb", s.imageGb());
    if (s.types() != null) {
      ArrayNode types = n.putArray("types");
      s.types().forEach(types::add);
    }
    if (s.zone() != null) {
      n.put("zone", s.zone());
    }
    n.put("oneZone", s.oneZone()).put("spread", s.spread()).put("spot", s.spot());
    n.put("estimate", s.estimateS()).put("checkpoint", s.checkpointS()).put("save", s.saveS());
    if (s.deadlineS() != null) {
      n.put("deadline", s.deadlineS());
    }
    n.put("at", s.submittedMs()).put("cap", s.sliceCap());
    if (!s.needs().isEmpty()) {
      s.needs().forEach(n.putArray("needs")::add);
    }
    if (stop) {
      n.put("stop", true);
    }
    return n;
  }

  public static boolean stopOf(JsonNode n) {
    return n.path("stop").asBoolean(false);
  }

  public static JobSpec job(String id, JsonNode n) {
    List<String> types = null;
    if (n.has("types")) {
      types = new ArrayList<>();
      for (JsonNode t : n.get("types")) {
        types.add(t.asText());
      }
    }
    return new JobSpec(
        id,
        n.path("class").asText().intern(),
        n.path("team").asText().intern(),
        Kind.valueOf(n.path("kind").asText()),
        Priority.valueOf(n.path("priority").asText()),
        n.path("tasks").asInt(),
        n.path("cpus").asDouble(),
        n.path("gpus").asDouble(),
        n.path("mem").asDouble(),
        n.path("image").asText().intern(),
        n.path("imageGb").asDouble(),
        types,
        n.has("zone") ? n.get("zone").asText() : null,
        n.path("oneZone").asBoolean(),
        n.path("spread").asBoolean(),
        n.path("spot").asBoolean(),
        n.path("estimate").asDouble(),
        n.path("checkpoint").asDouble(),
        n.path("save").asDouble(),
        n.has("deadline") ? n.get("deadline").asDouble() : null,
        n.path("at").asLong(),
        Math.max(1, n.path("cap").asInt(1)),
        needs(n.path("needs")));
  }

  private static List<String> needs(JsonNode n) {
    if (n.isEmpty()) {
      return List.of();
    }
    List<String> needs = new ArrayList<>();
    n.forEach(need -> needs.add(need.asText()));
    return List.copyOf(needs);
  }

  /** The recent demand, with times of day. */
  public static ObjectNode demand(List<Action.Demand> classes, long nowMs) {
    ObjectNode n = Json.object();
    ArrayNode list = n.putArray("classes");
    for (Action.Demand d : classes) {
      ObjectNode c = list.addObject();
      c.set("latest", job(d.latest().needing(List.of()), false));
      ArrayNode a = c.putArray("arrivals");
      for (double[] x : d.arrivals()) {
        a.addArray().add(nowMs - (long) (x[0] * 1000)).add((int) x[1]);
      }
    }
    return n;
  }

  /** The same within so many bytes: the oldest arrivals are left out, then whole classes. */
  public static ObjectNode demand(List<Action.Demand> classes, long nowMs, int mostBytes) {
    int most = classes.stream().mapToInt(d -> d.arrivals().size()).max().orElse(0);
    ObjectNode n = demand(classes, nowMs);
    while (Json.write(n).length > mostBytes) {
      ArrayNode list = (ArrayNode) n.get("classes");
      most /= 2;
      if (most == 0 && list.size() > 0) {
        list.remove(list.size() - 1);
      }
      for (JsonNode c : list) {
        ArrayNode arrivals = (ArrayNode) c.get("arrivals");
        while (arrivals.size() > Math.max(1, most)) {
          arrivals.remove(arrivals.size() - 1);
        }
      }
    }
    return n;
  }

  public static List<Action.Demand> demand(JsonNode n, long nowMs) {
    List<Action.Demand> classes = new ArrayList<>();
    for (JsonNode c : n.path("classes")) {
      List<double[]> arrivals = new ArrayList<>();
      for (JsonNode a : c.path("arrivals")) {
        double age = (nowMs - a.path(0).asLong()) / 1000.0;
        arrivals.add(new double[] {Math.max(0, age), a.path(1).asInt()});
      }
      classes.add(new Action.Demand(job("j-0", c.path("latest")), arrivals));
    }
    return classes;
  }

  /** Which images machines have: each image's name once, and for each machine its bits. */
  public static ObjectNode images(Map<String, List<String>> machines, int most) {
    ObjectNode n = Json.object();
    ArrayNode names = n.putArray("images");
    ObjectNode bits = n.putObject("machines");
    Map<String, Integer> index = new HashMap<>();
    machines.forEach(
        (machine, images) -> {
          long mask = 0;
          for (String image : images) {
            Integer i = index.get(image);
            if (i == null && index.size() < most) {
              i = index.size();
              index.put(image, i);
              names.add(image);
            }
            mask |= i == null ? 0 : 1L << i;
          }
          bits.put(machine, mask);
        });
    return n;
  }

  /** The same within so many bytes; it is a hint, so some machines may be left out. */
  public static ObjectNode images(Map<String, List<String>> machines, int most, int mostBytes) {
    Map<String, List<String>> some = new LinkedHashMap<>(machines);
    ObjectNode n = images(some, most);
    while (Json.write(n).length > mostBytes && !some.isEmpty()) {
      some.keySet().removeAll(some.keySet().stream().limit(1 + some.size() / 8).toList());
      n = images(some, most);
    }
    return n;
  }

  public static Map<String, List<String>> images(JsonNode n) {
    Map<String, List<String>> machines = new HashMap<>();
    JsonNode names = n.path("images");
    n.path("machines")
        .fields()
        .forEachRemaining(
            e -> {
              List<String> images = new ArrayList<>();
              for (int i = 0; i < names.size(); i++) {
                if ((e.getValue().asLong() >> i & 1) != 0) {
                  images.add(names.get(i).asText().intern());
                }
              }
              machines.put(e.getKey(), images);
            });
    return machines;
  }

  /** The final state of a job, and the time of day at which it was written. */
  public static ObjectNode end(boolean cancelled, int tasks, long nowMs) {
    return Json.object()
        .put("end", cancelled ? "cancelled" : "done")
        .put("tasks", tasks)
        .put("at", nowMs);
  }

  private static final int QUEUED = -1;
  private static final int DONE = -2;

  /**
   * A slice: attempts, the machines with their sessions, and for each task the place in that list.
   * A slice that is all done shrinks to its size.
   */
  public static ObjectNode slice(TaskBatchRecord r) {
    ObjectNode n = Json.object();
    if (r.doneCount() == r.size()) {
      return n.put("done", r.size());
    }
    return r.packed() ? packed(r) : plain(r);
  }

  /**
   * The same in fewer bytes, a character for each task instead of numbers. Only for slices that an
   * earlier version made too large for the state service's present limits; that version can't read
   * it.
   */
  private static ObjectNode packed(TaskBatchRecord r) {
    ObjectNode n = Json.object();
    StringBuilder attempts = new StringBuilder();
    StringBuilder places = new StringBuilder();
    ArrayNode machines = Json.array();
    Map<String, Integer> index = new HashMap<>();
    for (int i = 0; i < r.size(); i++) {
      attempts.append((char) (FIRST_CHAR + r.attempt(i)));
      String m = r.machine(i);
      int place = QUEUED;
      if (r.done(i)) {
        place = DONE;
      } else if (m != null) {
        long session = r.session(i);
        place =
            index.computeIfAbsent(
                m + "#" + session,
                k -> {
                  machines.addArray().add(m).add(session);
                  return machines.size() - 1;
                });
      }
      places.append((char) (FIRST_CHAR - DONE + place));
    }
    n.put("as", attempts.toString()).put("ps", places.toString());
    n.set("m", machines);
    return n;
  }

  private static TaskBatchRecord unpacked(JsonNode n) {
    String attempts = n.path("as").asText();
    String places = n.path("ps").asText();
    JsonNode machines = n.path("m");
    int size = attempts.length();
    int[] a = new int[size];
    String[] m = new String[size];
    long[] s = new long[size];
    boolean[] d = new boolean[size];
    for (int i = 0; i < size; i++) {
      a[i] = attempts.charAt(i) - FIRST_CHAR;
      int p = places.charAt(i) - FIRST_CHAR + DONE;
      d[i] = p == DONE;
      if (p >= 0) {
        m[i] = machines.path(p).path(0).asText().intern();
        s[i] = machines.path(p).path(1).asLong();
      }
    }
    return new TaskBatchRecord(a, m, s, d);
  }

  /** Past the quotation mark; some ninety characters of one byte follow, then those of two. */
  private static final char FIRST_CHAR = '#';

  private static ObjectNode plain(TaskBatchRecord r) {
    ObjectNode n = Json.object();
    ArrayNode attempts = n.putArray("a");
    ArrayNode machines = n.putArray("m");
    ArrayNode places = n.putArray("p");
    Map<String, Integer> index = new HashMap<>();
    for (int i = 0; i < r.size(); i++) {
      attempts.add(r.attempt(i));
      String m = r.machine(i);
      if (r.done(i)) {
        places.add(DONE);
      } else if (m == null) {
        places.add(QUEUED);
      } else {
        long session = r.session(i);
        places.add(
            index.computeIfAbsent(
                m + "#" + session,
                k -> {
                  machines.addArray().add(m).add(session);
                  return machines.size() - 1;
                }));
      }
    }
    return n;
  }

  public static TaskBatchRecord slice(JsonNode n) {
    if (n.has("done")) {
      int size = n.get("done").asInt();
      boolean[] done = new boolean[size];
      java.util.Arrays.fill(done, true);
      return new TaskBatchRecord(new int[size], new String[size], new long[size], done);
    }
    if (n.has("as")) {
      return unpacked(n);
    }
    JsonNode attempts = n.path("a");
    JsonNode machines = n.path("m");
    JsonNode places = n.path("p");
    int size = attempts.size();
    int[] a = new int[size];
    String[] m = new String[size];
    long[] s = new long[size];
    boolean[] d = new boolean[size];
    for (int i = 0; i < size; i++) {
      a[i] = attempts.get(i).asInt();
      int p = places.path(i).asInt(QUEUED);
      d[i] = p == DONE;
      if (p >= 0) {
        m[i] = machines.path(p).path(0).asText().intern();
        s[i] = machines.path(p).path(1).asLong();
      }
    }
    return new TaskBatchRecord(a, m, s, d);
  }
}

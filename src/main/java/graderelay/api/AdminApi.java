package graderelay.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.constants.Constants;
import graderelay.core.Scheduler;
import graderelay.core.TaskBatchRecord;
import graderelay.core.Team;
import graderelay.mesh.MeshClient;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.net.Query;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.CancellationResolver;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * What operators may see and change. Settings are one record in the state service, written
 * conditionally; every controller follows it. What only the owner knows is asked of the owner.
 */
public final class AdminApi {
  private static final String ROOT = "/admin";

  private final Loop loop;
  private final Settings platform;
  private final TeamLimits limits;
  private final StateClient state;
  private final Cache cache;
  private final Leadership leadership;
  private final MeshClient mesh;
  private final OperatorSettings defaults;
  private final int mostSlice;
  private final Supplier<Scheduler> core;
  private final BooleanSupplier ready;

  public AdminApi(
      Loop loop,
      Settings platform,
      TeamLimits limits,
      StateClient state,
      Cache cache,
      Leadership leadership,
      MeshClient mesh,
      OperatorSettings defaults,
      int mostSlice,
      Supplier<Scheduler> core,
      BooleanSupplier ready) {
    this.loop = loop;
    this.platform = platform;
    this.limits = limits;
    this.state = state;
    this.cache = cache;
    this.leadership = leadership;
    this.mesh = mesh;
    this.defaults = defaults;
    this.mostSlice = mostSlice;
    this.core = core;
    this.ready = ready;
  }

  public static boolean owns(String path) {
    return path.equals(ROOT) || path.startsWith(ROOT + "/");
  }

  public void handle(Exchange e) {
    String rest = e.path().length() <= ROOT.length() ? "" : e.path().substring(ROOT.length() + 1);
    String[] parts = rest.split("/");
    boolean get = e.method().equals("GET");
    switch (parts[0]) {
      case "status" -> only(e, get, () -> status(e));
      case "settings" -> {
        if (e.method().equals("PUT")) {
          change(e);
        } else {
          only(e, get, () -> settings(e));
        }
      }
      case "teams" -> only(e, get, () -> atLeader(e, this::teams));
      case "jobs" ->
          only(
              e,
              get,
              () -> {
                if (parts.length == 1) {
                  jobs(e);
                } else {
                  atLeader(e, x -> job(x, parts[1]));
                }
              });
      case "machines" -> {
        if (parts.length == 3) {
          only(e, e.method().equals("POST"), () -> control(e, parts[1], parts[2]));
        } else {
          only(e, get, () -> atLeader(e, this::machines));
        }
      }
      case "claims" -> {
        boolean known =
            parts.length == 2 && (parts[1].equals("pause") || parts[1].equals("resume"));
        if (known) {
          ObjectNode values = Json.object().put("claims_paused", parts[1].equals("pause"));
          only(e, e.method().equals("POST"), () -> write(e, values, -1));
        } else {
          UserApi.refuse(e, 404, "there are /admin/claims/pause and /admin/claims/resume");
        }
      }
      default -> UserApi.refuse(e, 404, "no such path");
    }
  }

  private static void only(Exchange e, boolean right, Runnable r) {
    if (right) {
      r.run();
    } else {
      UserApi.refuse(e, 405, "method not allowed");
    }
  }

  private static void answer(Exchange e, int status, JsonNode n) {
    e.to().accept(Answer.json(status, Json.write(n)));
  }

  /** Answers here if this controller leads, else passes the question on to who does. */
  public void atLeader(Exchange e, Consumer<Exchange> here) {
    if (core.get() != null) {
      here.accept(e);
      return;
    }
    StateCodec.Owner o = cache.owner();
    String address = o == null ? null : mesh.addressOf(o.member());
    if (address == null || e.relayed()) {
      UserApi.unavailable(e, "nobody owns the fleet at the moment");
      return;
    }
    mesh.send(
        address,
        new PeerRequest.AdminRequest(e.method(), e.path(), e.query(), e.body()),
        PeerCodec::relayed,
        mesh.timeoutS(),
        relayed -> {
          if (relayed == null) {
            UserApi.unavailable(e, "the owner " + o.member() + " did not answer");
          } else {
            e.to().accept(relayed.answer());
          }
        });
  }

  // ---------------------------------------------------------------- what there is

  private void status(Exchange e) {
    StateCodec.Owner o = cache.owner();
    ObjectNode n = Json.object();
    n.put("member", platform.member())
        .put("zone", platform.zone())
        .put("ready", ready.getAsBoolean());
    n.put("owner", o == null ? null : o.member()).put("term", cache.term());
    n.put("state_failing_s", state.failingFor());
    int waiting = 0;
    int running = 0;
    for (Cache.Entry j : cache.jobs().values()) {
      boolean claimed = j.slices.values().stream().anyMatch(s -> s.record().claimedCount() > 0);
      running += claimed ? 1 : 0;
      waiting += claimed ? 0 : 1;
    }
    n.put("live_jobs", cache.jobs().size()).put("running_jobs", running);
    n.put("waiting_jobs", waiting).put("claims_paused", current().claimsPaused());
    answer(e, 200, n);
  }

  /** How many entries of a list are asked for, or -1 if that is no number of at least 1. */
  private static int most(Map<String, String> query) {
    try {
      int n = Integer.parseInt(query.getOrDefault("most", "" + Constants.MOST_LISTED));
      return n < 1 ? -1 : Math.min(n, Constants.MOST_LISTED);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private static boolean asked(Map<String, String> query, String name, String value) {
    return !query.containsKey(name) || query.get(name).equals(value);
  }

  /** A page of the fleet, by name: a large one would not fit the line that an answer may have. */
  private void machines(Exchange e) {
    Map<String, String> query = Query.parse(e.query());
    int most = most(query);
    if (most < 0) {
      UserApi.refuse(e, 400, "most must be a number of at least 1");
      return;
    }
    List<Scheduler.MachineView> all = new ArrayList<>(core.get().machines(loop.now()));
    all.sort(Comparator.comparing(Scheduler.MachineView::name));
    Map<String, Integer> states = new TreeMap<>();
    ArrayNode a = Json.array();
    boolean truncated = false;
    for (Scheduler.MachineView m : all) {
      states.merge(m.state(), 1, Integer::sum);
      if (m.name().compareTo(query.getOrDefault("after", "")) <= 0
          || !asked(query, "state", m.state())
          || !asked(query, "type", m.type())
          || !asked(query, "zone", m.zone())) {
        continue;
      }
      if (a.size() >= most) {
        truncated = true;
        continue;
      }
      ObjectNode n = a.addObject().put("name", m.name()).put("type", m.type());
      n.put("zone", m.zone()).put("spot", m.spot()).put("state", m.state());
      n.put("tasks", m.claims()).put("cpus_used", m.cpusUsed()).put("cpus", m.cpus());
      if (m.silentS() < 1e6) {
        n.put("silent_s", m.silentS());
      }
    }
    ObjectNode n = Json.object().put("known", all.size()).put("truncated", truncated);
    ObjectNode counts = n.putObject("states");
    states.forEach(counts::put);
    n.set("machines", a);
    answer(e, 200, n);
  }

  private void teams(Exchange e) {
    var use = core.get().teamUse();
    ArrayNode a = Json.array();
    for (Team t : limits.teams()) {
      var u = use.get(t.name());
      ObjectNode n = a.addObject().put("name", t.name());
      n.put("cpus_used", u == null ? 0 : u.cpus()).put("cpus", t.cpus());
      n.put("cpus_max", t.cpusMax()).put("gpus_used", u == null ? 0 : u.gpus());
      n.put("gpus", t.gpus()).put("gpus_max", t.gpusMax());
    }
    ObjectNode n = Json.object();
    n.set("teams", a);
    answer(e, 200, n);
  }

  private static ObjectNode describe(Cache cache, Cache.Entry j) {
    int done = 0;
    int claimed = 0;
    for (Cache.SliceEntry s : j.slices.values()) {
      done += s.record().doneCount();
      claimed += s.record().claimedCount();
    }
    boolean stops = j.stop || CancellationResolver.cancelled(cache, j.spec, new HashSet<>());
    String stage = stops ? "stopping" : claimed > 0 ? "running" : "waiting";
    return Json.object()
        .put("id", j.spec.id())
        .put("class", j.spec.jobClass())
        .put("team", j.spec.team())
        .put("stage", stage)
        .put("tasks", j.spec.tasks())
        .put("done", done)
        .put("claimed", claimed);
  }

  private void jobs(Exchange e) {
    Map<String, String> query = Query.parse(e.query());
    int most = most(query);
    if (most < 0) {
      UserApi.refuse(e, 400, "most must be a number of at least 1");
      return;
    }
    ArrayNode a = Json.array();
    boolean truncated = false;
    String after = query.getOrDefault("after", "");
    for (Cache.Entry j : new TreeMap<>(cache.jobs()).tailMap(after, false).values()) {
      if (!asked(query, "team", j.spec.team()) || !asked(query, "class", j.spec.jobClass())) {
        continue;
      }
      if (a.size() >= most) {
        truncated = true;
        break;
      }
      a.add(describe(cache, j));
    }
    ObjectNode n = Json.object().put("live_jobs", cache.jobs().size());
    n.put("truncated", truncated);
    n.set("jobs", a);
    answer(e, 200, n);
  }

  private void job(Exchange e, String id) {
    Cache.Entry j = cache.job(id);
    if (j == null) {
      UserApi.refuse(e, 404, "no live job " + id);
      return;
    }
    ObjectNode n = describe(cache, j);
    n.put("waits_because", core.get().whyWaiting(id));
    j.spec.needs().forEach(n.putArray("needs")::add);
    ArrayNode neededBy = n.putArray("needed_by");
    for (Cache.Entry o : new TreeMap<>(cache.jobs()).values()) {
      if (o.spec.needs().contains(id) && neededBy.size() < Constants.MOST_LISTED) {
        neededBy.add(o.spec.id());
      }
    }
    ArrayNode a = n.putArray("claims");
    for (var s : j.slices.entrySet()) {
      TaskBatchRecord r = s.getValue().record();
      for (int i = 0; i < r.size() && a.size() < Constants.MOST_LISTED; i++) {
        if (r.machine(i) != null) {
          a.addObject()
              .put("task", j.spec.taskId(s.getKey() * j.spec.sliceCap() + i))
              .put("attempt", r.attempt(i))
              .put("machine", r.machine(i))
              .put("session", r.session(i));
        }
      }
    }
    answer(e, 200, n);
  }

  // ---------------------------------------------------------------- settings

  private OperatorSettings current() {
    return OperatorSettings.stored(cache.settings(), defaults, mostSlice);
  }

  private ObjectNode view() {
    ObjectNode n = Json.object().put("mark", cache.settingsMark());
    n.set("values", current().json());
    n.set("defaults", defaults.json());
    return n;
  }

  private void settings(Exchange e) {
    cache.catchUp(
        ok -> {
          if (ok) {
            answer(e, 200, view());
          } else {
            UserApi.unavailable(e, "the state service can't be reached");
          }
        });
  }

  private void change(Exchange e) {
    JsonNode body = Json.read(e.body());
    if (body == null || !body.isObject() || !body.path("values").isObject()) {
      UserApi.refuse(e, 400, "values must be an object with the settings to change");
      return;
    }
    JsonNode mark = body.path("mark");
    if (!mark.isMissingNode() && !mark.isIntegralNumber()) {
      UserApi.refuse(e, 400, "mark must be the integer that reading the settings gave");
      return;
    }
    write(e, body.get("values"), mark.isMissingNode() ? -1 : mark.longValue());
  }

  /** Changes some fields, on the record as it is now or, if a mark is given, only on that one. */
  private void write(Exchange e, JsonNode values, long onMark) {
    cache.catchUp(
        ok -> {
          if (!ok) {
            UserApi.unavailable(e, "the state service can't be reached");
            return;
          }
          if (onMark >= 0 && onMark != cache.settingsMark()) {
            answer(e, 409, view().put("error", "the settings have changed since"));
            return;
          }
          OperatorSettings next;
          try {
            next = current().with(values, defaults, mostSlice);
          } catch (BadRequest b) {
            UserApi.refuse(e, 400, b.getMessage());
            return;
          }
          if (Json.write(next.json()).length > platform.least().valueBytes()) {
            UserApi.refuse(e, 400, "the settings are too large for the state service");
            return;
          }
          StateClient.Txn txn =
              new StateClient.Txn()
                  .when(StateCodec.SETTINGS, cache.settingsMark())
                  .put(StateCodec.SETTINGS, next.json());
          state.commit(txn, Use.SUBMISSION, r -> written(e, r));
        });
  }

  private void written(Exchange e, StateClient.Result r) {
    String conflict = "somebody else changed the settings meanwhile";
    OperatorWrites.answer(e, cache, r, this::view, conflict);
  }

  private void control(Exchange e, String machine, String what) {
    OperatorSettings s = current();
    List<String> cordoned = new ArrayList<>(s.cordoned());
    List<String> drained = new ArrayList<>(s.drained());
    cordoned.remove(machine);
    drained.remove(machine);
    switch (what) {
      case "cordon" -> cordoned.add(machine);
      case "drain" -> drained.add(machine);
      case "uncordon" -> {}
      default -> {
        UserApi.refuse(e, 404, "there are cordon, drain and uncordon");
        return;
      }
    }
    ObjectNode values = Json.object();
    ArrayNode c = values.putArray("cordoned");
    cordoned.forEach(c::add);
    ArrayNode d = values.putArray("drained");
    drained.forEach(d::add);
    write(e, values, cache.settingsMark());
  }
}

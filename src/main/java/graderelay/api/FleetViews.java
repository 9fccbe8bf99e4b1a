package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.config.OperatorSettings;
import graderelay.config.Settings;
import graderelay.core.Scheduler;
import graderelay.core.Team;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.JobEntry;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.Json;
import graderelay.wire.StateCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What operators see of this controller and of the fleet: {@code /admin/status} on any controller,
 * {@code /admin/machines} and {@code /admin/teams} on the leader only, whose scheduler knows them.
 */
final class FleetViews {
  private final Loop loop;
  private final Settings platform;
  private final TeamLimits limits;
  private final StateClient state;
  private final Cache cache;
  private final Supplier<Scheduler> scheduler;
  private final BooleanSupplier ready;
  private final Supplier<OperatorSettings> operatorSettings;

  FleetViews(
      Loop loop,
      Settings platform,
      TeamLimits limits,
      StateClient state,
      Cache cache,
      Supplier<Scheduler> scheduler,
      BooleanSupplier ready,
      Supplier<OperatorSettings> operatorSettings) {
    this.loop = loop;
    this.platform = platform;
    this.limits = limits;
    this.state = state;
    this.cache = cache;
    this.scheduler = scheduler;
    this.ready = ready;
    this.operatorSettings = operatorSettings;
  }

  /** This controller, who leads, and how many live jobs wait or run. */
  void status(Exchange e) {
    StateCodec.LeaderRecord leader = cache.leader();
    ObjectNode n = Json.object();
    n.put("member", platform.member())
        .put("zone", platform.zone())
        .put("ready", ready.getAsBoolean());
    n.put("owner", leader == null ? null : leader.member()).put("term", cache.term());
    n.put("state_failing_s", state.health().failingForS());
    int waiting = 0;
    int running = 0;
    for (JobEntry j : cache.jobs().values()) {
      boolean claimed =
          j.taskBatches.values().stream().anyMatch(s -> s.record().claimedCount() > 0);
      running += claimed ? 1 : 0;
      waiting += claimed ? 0 : 1;
    }
    n.put("live_jobs", cache.jobs().size()).put("running_jobs", running);
    n.put("waiting_jobs", waiting).put("claims_paused", operatorSettings.get().claimsPaused());
    Replies.json(e, 200, n);
  }

  /**
   * A page of the fleet, by name, filtered by state, type and zone: a large one would not fit the
   * line that an answer may have. Needs the leader's scheduler.
   */
  void machines(Exchange e) {
    Optional<ListQuery> asked = ListQuery.parse(e.query());
    if (asked.isEmpty()) {
      Replies.badListQuery(e);
      return;
    }
    ListQuery query = asked.get();
    List<Scheduler.MachineView> all = new ArrayList<>(scheduler.get().machines(loop.now()));
    all.sort(Comparator.comparing(Scheduler.MachineView::name));
    Map<String, Integer> states = new TreeMap<>();
    ArrayNode page = Json.array();
    boolean truncated = false;
    for (Scheduler.MachineView m : all) {
      states.merge(m.state(), 1, Integer::sum);
      if (m.name().compareTo(query.after()) <= 0
          || !query.asks("state", m.state())
          || !query.asks("type", m.type())
          || !query.asks("zone", m.zone())) {
        continue;
      }
      if (page.size() >= query.most()) {
        truncated = true;
        continue;
      }
      ObjectNode n = page.addObject().put("name", m.name()).put("type", m.type());
      n.put("zone", m.zone()).put("spot", m.spot()).put("state", m.state());
      n.put("tasks", m.claims()).put("cpus_used", m.cpusUsed()).put("cpus", m.cpus());
      if (m.silentS() < 1e6) {
        n.put("silent_s", m.silentS());
      }
    }
    ObjectNode n = Json.object().put("known", all.size()).put("truncated", truncated);
    ObjectNode counts = n.putObject("states");
    states.forEach(counts::put);
    n.set("machines", page);
    Replies.json(e, 200, n);
  }

  /** Each team's quota beside its use. Needs the leader's scheduler. */
  void teams(Exchange e) {
    var use = scheduler.get().teamUse();
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
    Replies.json(e, 200, n);
  }
}

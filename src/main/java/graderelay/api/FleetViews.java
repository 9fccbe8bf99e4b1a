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
 * JSON views of this controller and of the fleet for operators: {@code /admin/status} on any
 * controller, {@code /admin/machines} and {@code /admin/teams} on the leader only, since they need
 * its scheduler. Runs on the event loop.
 */
final class FleetViews {
  /** Seconds of silence from which a machine counts as one that never sent a heartbeat. */
  private static final double NEVER_REPORTED_SILENCE_S = 1e6;

  private final Loop loop;
  private final Settings controllerSettings;
  private final TeamLimits limits;
  private final StateClient state;
  private final Cache cache;
  private final Supplier<Scheduler> scheduler;
  private final BooleanSupplier ready;
  private final Supplier<OperatorSettings> operatorSettings;

  /**
   * Creates the views.
   *
   * @param controllerSettings this controller's settings from the configuration file
   * @param scheduler the scheduler while this controller is the leader, else null
   * @param ready true once this controller is ready to serve requests
   */
  FleetViews(
      Loop loop,
      Settings controllerSettings,
      TeamLimits limits,
      StateClient state,
      Cache cache,
      Supplier<Scheduler> scheduler,
      BooleanSupplier ready,
      Supplier<OperatorSettings> operatorSettings) {
    this.loop = loop;
    this.controllerSettings = controllerSettings;
    this.limits = limits;
    this.state = state;
    this.cache = cache;
    this.scheduler = scheduler;
    this.ready = ready;
    this.operatorSettings = operatorSettings;
  }

  /**
   * Answers with this controller's state, the leader, and the numbers of waiting and running jobs.
   */
  void showStatus(Exchange exchange) {
    StateCodec.LeaderRecord leader = cache.leader();
    ObjectNode body = Json.object();
    body.put("member", controllerSettings.member())
        .put("zone", controllerSettings.zone())
        .put("ready", ready.getAsBoolean());
    body.put("owner", leader == null ? null : leader.member());
    body.put("term", leader == null ? cache.term() : leader.term());
    body.put("scheduling", scheduler.get() != null);
    body.put("state_failing_s", state.health().failingForS());
    int liveJobs = cache.jobs().size();
    int runningJobs = 0;
    for (JobEntry job : cache.jobs().values()) {
      runningJobs += hasClaims(job) ? 1 : 0;
    }
    body.put("live_jobs", liveJobs).put("running_jobs", runningJobs);
    body.put("waiting_jobs", liveJobs - runningJobs);
    body.put("claims_paused", operatorSettings.get().claimsPaused());
    Replies.json(exchange, 200, body);
  }

  private static boolean hasClaims(JobEntry job) {
    return job.taskBatches.values().stream().anyMatch(batch -> batch.record().claimedCount() > 0);
  }

  /**
   * Answers with a page of the machines, sorted by name and filtered by state, type and zone. The
   * list is paged since a large fleet would exceed the size limit of an answer. Needs the leader's
   * scheduler.
   */
  void listMachines(Exchange exchange) {
    Optional<ListQuery> query = ListQuery.parse(exchange.query());
    if (query.isEmpty()) {
      Replies.BAD_LIST_QUERY.sendTo(exchange);
      return;
    }
    List<Scheduler.MachineView> machines = new ArrayList<>(scheduler.get().machines(loop.now()));
    machines.sort(Comparator.comparing(Scheduler.MachineView::name));
    Replies.json(exchange, 200, machinesPage(machines, query.get()));
  }

  private static ObjectNode machinesPage(List<Scheduler.MachineView> machines, ListQuery query) {
    Map<String, Integer> states = new TreeMap<>();
    ArrayNode page = Json.array();
    boolean truncated = false;
    for (Scheduler.MachineView machine : machines) {
      states.merge(machine.state(), 1, Integer::sum);
      if (!matchesQuery(machine, query)) {
        continue;
      }
      if (page.size() < query.limit()) {
        page.add(describe(machine));
      } else {
        truncated = true;
      }
    }
    ObjectNode body = Json.object().put("known", machines.size()).put("truncated", truncated);
    ObjectNode counts = body.putObject("states");
    states.forEach(counts::put);
    body.set("machines", page);
    return body;
  }

  private static boolean matchesQuery(Scheduler.MachineView machine, ListQuery query) {
    return machine.name().compareTo(query.after()) > 0
        && query.matches("state", machine.state())
        && query.matches("type", machine.type())
        && query.matches("zone", machine.zone());
  }

  private static ObjectNode describe(Scheduler.MachineView machine) {
    ObjectNode entry = Json.object().put("name", machine.name()).put("type", machine.type());
    entry.put("zone", machine.zone()).put("spot", machine.spot()).put("state", machine.state());
    entry.put("tasks", machine.claims()).put("cpus_used", machine.cpusUsed());
    entry.put("cpus", machine.cpus());
    if (machine.silentS() < NEVER_REPORTED_SILENCE_S) {
      entry.put("silent_s", machine.silentS());
    }
    return entry;
  }

  /** Answers with the quota and the usage of each team. Needs the leader's scheduler. */
  void listTeams(Exchange exchange) {
    var usageByTeam = scheduler.get().usageByTeam();
    ArrayNode teams = Json.array();
    for (Team team : limits.teams()) {
      var usage = usageByTeam.get(team.name());
      ObjectNode entry = teams.addObject().put("name", team.name());
      entry.put("cpus_used", usage == null ? 0 : usage.cpus()).put("cpus", team.cpuGuarantee());
      entry.put("cpus_max", team.cpuLimit()).put("gpus_used", usage == null ? 0 : usage.gpus());
      entry.put("gpus", team.gpuGuarantee()).put("gpus_max", team.gpuLimit());
    }
    ObjectNode body = Json.object();
    body.set("teams", teams);
    Replies.json(exchange, 200, body);
  }
}

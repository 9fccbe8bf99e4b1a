package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.quota.Amount;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import graderelay.state.Cache;
import graderelay.state.TeamLimits;
import graderelay.wire.Json;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** JSON views of the teams' limits and usage for operators. Runs on the event loop. */
final class QuotaViews {
  private final Cache cache;
  private final TeamLimits limits;
  private final Supplier<Scheduler> scheduler;

  /**
   * Creates the views.
   *
   * @param scheduler the scheduler while this controller is the leader, else null
   */
  QuotaViews(Cache cache, TeamLimits limits, Supplier<Scheduler> scheduler) {
    this.cache = cache;
    this.limits = limits;
    this.scheduler = scheduler;
  }

  /**
   * Answers with one team's limits and usage, or with those of all teams if {@code team} is empty;
   * 404 for an unknown team. Needs the leader's scheduler.
   */
  void show(Exchange exchange, String team) {
    ObjectNode body = Json.object().put("stored", limits.usesStoredLimits());
    ArrayNode differences = body.putArray("settings_differ");
    limits.settingsDifferences().forEach(differences::add);
    ArrayNode teams = body.putArray("teams");
    for (Map.Entry<String, LimitRecord> entry : limitsInForce().entrySet()) {
      if (team.isEmpty() || team.equals(entry.getKey())) {
        teams.add(view(entry.getKey(), entry.getValue()));
      }
    }
    if (!team.isEmpty() && teams.isEmpty()) {
      ApiError.notFound("team " + team + " is not known").sendTo(exchange);
      return;
    }
    Replies.json(exchange, 200, body);
  }

  /** The current record of a team's limits, or a message that there is none. */
  ObjectNode currentLimits(String team) {
    LimitRecord record = cache.quota().limits(team);
    ObjectNode body = Json.object().put("team", team);
    if (record == null) {
      return body.put("message", "team " + team + " has no stored limits");
    }
    body.put("version", record.revision()).put("changed_by", record.changedBy());
    putQuota(body, record);
    return body;
  }

  /** The limits in force by team name; limits from the configuration have version 0. */
  private Map<String, LimitRecord> limitsInForce() {
    Map<String, LimitRecord> all = new TreeMap<>();
    if (limits.usesStoredLimits()) {
      all.putAll(cache.quota().limits());
    } else {
      limits
          .teams()
          .forEach(team -> all.put(team.name(), LimitRecord.of(team.quota(), 0, "settings", 0)));
    }
    return all;
  }

  private ObjectNode view(String team, LimitRecord record) {
    ObjectNode body = Json.object().put("team", team);
    putQuota(body, record);
    Scheduler.TeamUsage usage = scheduler.get().teamUsage(team);
    putUsage(body, team, record, usage);
    body.put("tasks_waiting", usage.waitingTasks());
    body.put("cpus_waiting", usage.waitingAmount().cpus())
        .put("gpus_waiting", usage.waitingAmount().gpus());
    body.put("version", record.revision()).put("changed_by", record.changedBy());
    body.put("changed_at_ms", record.changedAtMs());
    if (usage.standing().stoppedBecause() != null) {
      body.put("stopped_because", usage.standing().stoppedBecause());
    }
    return body;
  }

  /** Adds guarantee and limit, unless the record is malformed. */
  private static void putQuota(ObjectNode body, LimitRecord record) {
    if (record.isReadable()) {
      TeamQuota quota = record.quota();
      body.put("cpus", quota.guarantee().cpus()).put("cpus_max", quota.limit().cpus());
      body.put("gpus", quota.guarantee().gpus()).put("gpus_max", quota.limit().gpus());
    }
  }

  /** Adds the resources that a team's claims use, and how much of them is beyond the guarantee. */
  private void putUsage(
      ObjectNode body, String team, LimitRecord record, Scheduler.TeamUsage usage) {
    boolean stored = limits.usesStoredLimits();
    Amount claims = stored ? usage.standing().used() : scheduler.get().claimedAmount(team);
    body.put("cpus_used", claims.cpus()).put("gpus_used", claims.gpus());
    if (stored) {
      Amount reserved = usage.standing().reserved();
      body.put("cpus_reserved", reserved.cpus()).put("gpus_reserved", reserved.gpus());
    }
    if (record.isReadable()) {
      Amount beyond = claims.excessOver(record.quota().guarantee());
      body.put("cpus_beyond", beyond.cpus()).put("gpus_beyond", beyond.gpus());
    }
  }
}

package graderelay.api;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.quota.Account;
import graderelay.quota.Amount;
import graderelay.quota.LimitChange;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import graderelay.state.Cache;
import graderelay.state.QuotaRecords;
import graderelay.state.StateClient;
import graderelay.state.StoreResult;
import graderelay.state.TeamLimits;
import graderelay.state.Transaction;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.QuotaRequests;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * What operators see and change of stored limits. Any controller changes a limit, by a write that
 * is conditioned on the record as it is; what the leader alone knows is asked of the leader.
 */
public final class QuotaApi {
  private static final String ROOT = "/admin/quota";
  private static final String RECOMPUTE = "/recompute";
  private static final int CONFLICT = 409;
  private static final int BAD_REQUEST = 400;

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final TeamLimits limits;
  private final Supplier<Scheduler> core;
  private final FeaturesApi.Leader leader;
  private final Predicate<String> replaceAccount;
  private final String member;

  /**
   * Makes the interface.
   *
   * @param core what the leader knows, or null on other controllers
   * @param replaceAccount has the leader write a team's account anew; false if this controller does
   *     not lead any more
   */
  public QuotaApi(
      Loop loop,
      StateClient state,
      Cache cache,
      TeamLimits limits,
      Supplier<Scheduler> core,
      FeaturesApi.Leader leader,
      Predicate<String> replaceAccount,
      String member) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.limits = limits;
    this.core = core;
    this.leader = leader;
    this.replaceAccount = replaceAccount;
    this.member = member;
  }

  public static boolean owns(String path) {
    return path.equals(ROOT) || path.startsWith(ROOT + "/");
  }

  public void handle(Exchange e) {
    String rest = e.path().length() <= ROOT.length() ? "" : e.path().substring(ROOT.length() + 1);
    boolean recompute = rest.endsWith(RECOMPUTE);
    String name = recompute ? rest.substring(0, rest.length() - RECOMPUTE.length()) : rest;
    String team;
    try {
      team = URLDecoder.decode(name, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException malformed) {
      UserApi.refuse(e, BAD_REQUEST, "the team's name in the path is not properly encoded");
      return;
    }
    switch (e.method()) {
      case "GET" -> leader.handle(e, here -> show(here, team));
      case "PUT" -> onRecords(e, () -> change(e, team));
      case "DELETE" -> onRecords(e, () -> remove(e, team));
      case "POST" -> {
        if (recompute) {
          leader.handle(e, here -> onRecords(here, () -> recompute(here, team)));
        } else {
          onRecords(e, () -> add(e, team));
        }
      }
      default -> UserApi.refuse(e, 405, "method not allowed");
    }
  }

  private QuotaRecords records() {
    return cache.quota();
  }

  /** Goes on once the records as they are now have been read, if stored limits are in force. */
  private void onRecords(Exchange e, Runnable then) {
    cache.catchUp(
        ok -> {
          if (!ok) {
            UserApi.unavailable(e, "the state service can't be reached");
          } else if (!limits.stored()) {
            String why = "limits are not stored: the feature level of stored-limits is not reached";
            UserApi.refuse(e, CONFLICT, why);
          } else {
            then.run();
          }
        });
  }

  // ---------------------------------------------------------------- what there is

  private void show(Exchange e, String team) {
    ObjectNode n = Json.object().put("stored", limits.stored());
    ArrayNode differences = n.putArray("settings_differ");
    limits.differences().forEach(differences::add);
    ArrayNode teams = n.putArray("teams");
    for (Map.Entry<String, LimitRecord> each : shown().entrySet()) {
      if (team.isEmpty() || team.equals(each.getKey())) {
        teams.add(view(each.getKey(), each.getValue()));
      }
    }
    if (!team.isEmpty() && teams.isEmpty()) {
      UserApi.refuse(e, 404, "team " + team + " is not known");
      return;
    }
    e.to().accept(Answer.json(200, Json.write(n)));
  }

  /** The limits in force; those of the settings have no version. */
  private Map<String, LimitRecord> shown() {
    Map<String, LimitRecord> all = new TreeMap<>();
    if (limits.stored()) {
      all.putAll(records().limits());
    } else {
      limits.teams().forEach(t -> all.put(t.name(), LimitRecord.of(t.quota(), 0, "settings", 0)));
    }
    return all;
  }

  private ObjectNode view(String team, LimitRecord record) {
    ObjectNode n = Json.object().put("team", team);
    if (record.isReadable()) {
      TeamQuota quota = record.quota();
      n.put("cpus", quota.guarantee().cpus()).put("cpus_max", quota.limit().cpus());
      n.put("gpus", quota.guarantee().gpus()).put("gpus_max", quota.limit().gpus());
    }
    Scheduler.TeamUsage usage = core.get().teamUsage(team);
    boolean stored = limits.stored();
    Amount claims = stored ? usage.standing().claims() : core.get().teamClaims(team);
    n.put("cpus_used", claims.cpus()).put("gpus_used", claims.gpus());
    if (stored) {
      Amount reserved = usage.standing().account();
      n.put("cpus_reserved", reserved.cpus()).put("gpus_reserved", reserved.gpus());
    }
    if (record.isReadable()) {
      Amount beyond = claims.beyond(record.quota().guarantee());
      n.put("cpus_beyond", beyond.cpus()).put("gpus_beyond", beyond.gpus());
    }
    n.put("tasks_waiting", usage.waitingTasks());
    n.put("cpus_waiting", usage.waiting().cpus()).put("gpus_waiting", usage.waiting().gpus());
    n.put("version", record.revision()).put("changed_by", record.changedBy());
    n.put("changed_at_ms", record.changedAtMs());
    if (usage.standing().stoppedBecause() != null) {
      n.put("stopped_because", usage.standing().stoppedBecause());
    }
    return n;
  }

  // ---------------------------------------------------------------- changes

  private void change(Exchange e, String team) {
    QuotaRequests.Change asked = request(e);
    LimitRecord before = records().limits(team);
    if (asked == null) {
      return;
    }
    if (before == null) {
      UserApi.refuse(e, BAD_REQUEST, "team " + team + " is not known");
    } else if (asked.onVersion() >= 0 && asked.onVersion() != before.revision()) {
      conflict(e, team, "the limits of team " + team + " have changed since");
    } else if (!before.isReadable() && !asked.limits().isComplete()) {
      String why = "the stored limits of team " + team + " are malformed: " + before.malformed();
      UserApi.refuse(e, CONFLICT, why + "; give cpus, cpus_max, gpus and gpus_max");
    } else {
      TeamQuota on = before.isReadable() ? before.quota() : TeamQuota.UNLIMITED;
      put(e, team, asked.limits().applyTo(on), before.revision(), asked.by());
    }
  }

  private void add(Exchange e, String team) {
    QuotaRequests.Change asked = request(e);
    if (asked == null) {
      return;
    }
    if (team.isEmpty()) {
      UserApi.refuse(e, BAD_REQUEST, "the path must name the team: " + ROOT + "/TEAM");
    } else if (records().limits(team) != null) {
      conflict(e, team, "team " + team + " is there already");
    } else {
      put(e, team, asked.limits().applyTo(TeamQuota.UNLIMITED), 0, asked.by());
    }
  }

  /** The request's content, or null once it has been refused. */
  private QuotaRequests.Change request(Exchange e) {
    try {
      return QuotaRequests.decodeChange(Json.read(e.body()), member);
    } catch (BadRequest b) {
      UserApi.refuse(e, BAD_REQUEST, b.getMessage());
      return null;
    }
  }

  private void put(Exchange e, String team, TeamQuota quota, long onRevision, String by) {
    var contradiction = LimitChange.contradiction(quota);
    if (contradiction.isPresent()) {
      UserApi.refuse(e, BAD_REQUEST, contradiction.get());
      return;
    }
    String key = QuotaCodec.limitKey(team);
    Transaction txn =
        new Transaction()
            .when(key, onRevision)
            .when(QuotaCodec.SEEDED, records().seededRevision())
            .put(key, QuotaCodec.encodeLimits(quota, by, loop.wallMs()));
    state.commit(txn, Use.SUBMISSION, r -> written(e, team, r));
  }

  /** A team that has work, or whose claims may still be counted, can't be removed. */
  private void remove(Exchange e, String team) {
    LimitRecord before = records().limits(team);
    Account account = records().account(team);
    long jobs = cache.jobs().values().stream().filter(j -> j.spec.team().equals(team)).count();
    if (before == null) {
      UserApi.refuse(e, BAD_REQUEST, "team " + team + " is not known");
    } else if (jobs > 0) {
      UserApi.refuse(e, CONFLICT, "team " + team + " has " + jobs + " live jobs");
    } else if (account.isReadable() && !account.use().equals(Amount.NONE)) {
      UserApi.unavailable(e, "the account of team " + team + " still counts what has just ended");
    } else {
      Transaction txn =
          new Transaction()
              .when(QuotaCodec.limitKey(team), before.revision())
              .when(QuotaCodec.accountKey(team), account.revision())
              .delete(QuotaCodec.limitKey(team));
      if (account.revision() > 0) {
        txn.delete(QuotaCodec.accountKey(team));
      }
      state.commit(txn, Use.SUBMISSION, r -> written(e, team, r));
    }
  }

  private void recompute(Exchange e, String team) {
    if (records().limits(team) == null) {
      UserApi.refuse(e, BAD_REQUEST, "team " + team + " is not known");
      return;
    }
    if (!replaceAccount.test(team)) {
      UserApi.unavailable(e, "the lead has changed meanwhile"); // While the records were read.
      return;
    }
    String message = "the account of team " + team + " is written anew from its claims";
    e.to().accept(Answer.json(200, Json.write(Json.object().put("message", message))));
  }

  private void written(Exchange e, String team, StoreResult r) {
    String conflict = "somebody else changed the limits of team " + team + " meanwhile";
    OperatorWrites.answer(e, cache, r, () -> present(team), conflict);
  }

  /** The record as it is now. */
  private ObjectNode present(String team) {
    LimitRecord record = records().limits(team);
    ObjectNode n = Json.object().put("team", team);
    if (record == null) {
      return n.put("message", "team " + team + " has no stored limits");
    }
    n.put("version", record.revision()).put("changed_by", record.changedBy());
    if (record.isReadable()) {
      TeamQuota quota = record.quota();
      n.put("cpus", quota.guarantee().cpus()).put("cpus_max", quota.limit().cpus());
      n.put("gpus", quota.guarantee().gpus()).put("gpus_max", quota.limit().gpus());
    }
    return n;
  }

  private void conflict(Exchange e, String team, String why) {
    ObjectNode n = present(team).put("error", why);
    e.to().accept(Answer.json(CONFLICT, Json.write(n)));
  }
}

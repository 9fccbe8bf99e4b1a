package graderelay.api;

import graderelay.net.Exchange;
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
import graderelay.state.Transaction;
import graderelay.wire.BadRequest;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.QuotaRequests;
import java.util.Optional;

/**
 * Changes of stored limits, each a compare-and-swap on the record that the request was checked
 * against. The caller has read the records anew. Runs on the event loop.
 */
final class QuotaWrites {
  /** The revision of a record that does not exist. */
  private static final long ABSENT = 0;

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final QuotaViews views;
  private final String member;

  /**
   * Makes the handler of changes.
   *
   * @param member this controller's name, stored as the author of a change that names none
   */
  QuotaWrites(Loop loop, StateClient state, Cache cache, QuotaViews views, String member) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.views = views;
    this.member = member;
  }

  /** 400 for a request about a team that has no stored limits. */
  static ApiError unknownTeam(String team) {
    return ApiError.badRequest("team " + team + " is not known");
  }

  /** Changes the limits of a team that exists. */
  void change(Exchange exchange, String team) throws BadRequest {
    QuotaRequests.Change asked = decode(exchange);
    LimitRecord before = records().limits(team);
    if (before == null) {
      unknownTeam(team).sendTo(exchange);
    } else if (asked.onVersion() >= 0 && asked.onVersion() != before.revision()) {
      conflict(exchange, team, "the limits of team " + team + " have changed since");
    } else if (!before.isReadable() && !asked.limits().isComplete()) {
      String why = "the stored limits of team " + team + " are malformed: " + before.malformed();
      ApiError.conflict(why + "; give cpus, cpus_max, gpus and gpus_max").sendTo(exchange);
    } else {
      TeamQuota base = before.isReadable() ? before.quota() : TeamQuota.UNLIMITED;
      put(exchange, team, asked.limits().applyTo(base), before.revision(), asked.by());
    }
  }

  /** Adds a team with its limits; {@code prefix} is what the path has before the team's name. */
  void add(Exchange exchange, String team, PathPrefix prefix) throws BadRequest {
    QuotaRequests.Change asked = decode(exchange);
    if (team.isEmpty()) {
      ApiError.badRequest("the path must name the team: " + prefix.root() + "/TEAM")
          .sendTo(exchange);
    } else if (records().limits(team) != null) {
      conflict(exchange, team, "team " + team + " is there already");
    } else {
      put(exchange, team, asked.limits().applyTo(TeamQuota.UNLIMITED), ABSENT, asked.by());
    }
  }

  /** Removes a team; one that has work, or whose claims may still be counted, can't be removed. */
  void remove(Exchange exchange, String team) {
    LimitRecord before = records().limits(team);
    Account account = records().account(team);
    long jobs = cache.jobs().values().stream().filter(j -> j.spec.team().equals(team)).count();
    if (before == null) {
      unknownTeam(team).sendTo(exchange);
    } else if (jobs > 0) {
      ApiError.conflict("team " + team + " has " + jobs + " live jobs").sendTo(exchange);
    } else if (account.isReadable() && !account.use().equals(Amount.NONE)) {
      ApiError.unavailable("the account of team " + team + " still counts what has just ended")
          .sendTo(exchange);
    } else {
      drop(exchange, team, before, account);
    }
  }

  private QuotaRecords records() {
    return cache.quota();
  }

  private QuotaRequests.Change decode(Exchange exchange) throws BadRequest {
    return QuotaRequests.decodeChange(Json.read(exchange.body()), member);
  }

  private void put(
      Exchange exchange, String team, TeamQuota quota, long ifRevision, String changedBy) {
    Optional<String> contradiction = LimitChange.findInconsistency(quota);
    if (contradiction.isPresent()) {
      ApiError.badRequest(contradiction.get()).sendTo(exchange);
      return;
    }
    String key = QuotaCodec.limitKey(team);
    Transaction txn =
        new Transaction()
            .when(key, ifRevision)
            .when(QuotaCodec.SEEDED, records().seededRevision())
            .put(key, QuotaCodec.encodeLimits(quota, changedBy, loop.wallMs()));
    commit(exchange, team, txn);
  }

  private void drop(Exchange exchange, String team, LimitRecord limits, Account account) {
    Transaction txn =
        new Transaction()
            .when(QuotaCodec.limitKey(team), limits.revision())
            .when(QuotaCodec.accountKey(team), account.revision())
            .delete(QuotaCodec.limitKey(team));
    if (account.revision() > ABSENT) {
      txn.delete(QuotaCodec.accountKey(team));
    }
    commit(exchange, team, txn);
  }

  private void commit(Exchange exchange, String team, Transaction txn) {
    String conflict = "somebody else changed the limits of team " + team + " meanwhile";
    state.commit(
        txn,
        Use.SUBMISSION,
        result ->
            OperatorWrites.answer(exchange, cache, result, () -> views.present(team), conflict));
  }

  private void conflict(Exchange exchange, String team, String why) {
    OperatorWrites.conflict(exchange, views.present(team), why);
  }
}

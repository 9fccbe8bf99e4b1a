package graderelay.api;

import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.quota.Account;
import graderelay.quota.Amount;
import graderelay.quota.LimitChange;
import graderelay.quota.LimitRecord;
import graderelay.quota.TeamQuota;
import graderelay.state.Cache;
import graderelay.state.QuotaRecords;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.BadRequestException;
import graderelay.wire.Json;
import graderelay.wire.QuotaCodec;
import graderelay.wire.QuotaRequestCodec;
import java.util.Optional;

/**
 * Changes stored limits. Each change is a compare-and-swap on the record that the request was
 * checked against. The caller makes sure that the cache is up to date. Runs on the event loop.
 */
final class QuotaWrites {
  /** The revision of a record that does not exist. */
  private static final long ABSENT_REVISION = 0;

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final QuotaViews views;
  private final String member;

  /**
   * Creates the handler of changes.
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
  void change(Exchange exchange, String team) throws BadRequestException {
    QuotaRequestCodec.LimitChangeRequest request = decode(exchange);
    LimitRecord current = records().limits(team);
    if (current == null) {
      unknownTeam(team).sendTo(exchange);
    } else if (request.expectedVersion() >= 0 && request.expectedVersion() != current.revision()) {
      conflict(exchange, team, "the limits of team " + team + " have changed since they were read");
    } else if (!current.isReadable() && !request.change().isComplete()) {
      String message =
          "the stored limits of team " + team + " are malformed: " + current.malformed();
      ApiError.conflict(message + "; give cpus, cpus_max, gpus and gpus_max").sendTo(exchange);
    } else {
      TeamQuota base = current.isReadable() ? current.quota() : TeamQuota.UNLIMITED;
      put(exchange, team, request.change().applyTo(base), current.revision(), request.changedBy());
    }
  }

  /** Adds a team with its limits; {@code prefix} is the part of the path before the team's name. */
  void add(Exchange exchange, String team, PathPrefix prefix) throws BadRequestException {
    QuotaRequestCodec.LimitChangeRequest request = decode(exchange);
    if (team.isEmpty()) {
      ApiError.badRequest("the path must name the team: " + prefix.root() + "/TEAM")
          .sendTo(exchange);
    } else if (records().limits(team) != null) {
      conflict(exchange, team, "team " + team + " already exists");
    } else {
      put(
          exchange,
          team,
          request.change().applyTo(TeamQuota.UNLIMITED),
          ABSENT_REVISION,
          request.changedBy());
    }
  }

  /** Removes a team, unless it has live jobs or its account still contains claims. */
  void remove(Exchange exchange, String team) {
    LimitRecord current = records().limits(team);
    Account account = records().account(team);
    long liveJobs =
        cache.jobs().values().stream().filter(job -> job.spec.team().equals(team)).count();
    if (current == null) {
      unknownTeam(team).sendTo(exchange);
    } else if (liveJobs > 0) {
      ApiError.conflict("team " + team + " has " + liveJobs + " live jobs").sendTo(exchange);
    } else if (account.isReadable() && !account.use().equals(Amount.NONE)) {
      ApiError.unavailable(
              "the account of team " + team + " still contains claims of ended tasks; retry")
          .sendTo(exchange);
    } else {
      deleteLimits(exchange, team, current, account);
    }
  }

  private QuotaRecords records() {
    return cache.quota();
  }

  private QuotaRequestCodec.LimitChangeRequest decode(Exchange exchange)
      throws BadRequestException {
    return QuotaRequestCodec.decodeLimitChange(Json.read(exchange.body()), member);
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
            .put(key, QuotaCodec.encodeLimits(quota, changedBy, loop.wallClockMs()));
    commit(exchange, team, txn);
  }

  private void deleteLimits(Exchange exchange, String team, LimitRecord limits, Account account) {
    Transaction txn =
        new Transaction()
            .when(QuotaCodec.limitKey(team), limits.revision())
            .when(QuotaCodec.accountKey(team), account.revision())
            .delete(QuotaCodec.limitKey(team));
    if (account.revision() > ABSENT_REVISION) {
      txn.delete(QuotaCodec.accountKey(team));
    }
    commit(exchange, team, txn);
  }

  private void commit(Exchange exchange, String team, Transaction txn) {
    String conflictMessage = "a concurrent change modified the limits of team " + team + " first";
    state.commit(
        txn,
        CallPriority.SUBMISSION,
        result ->
            OperatorWrites.answer(
                exchange, cache, result, () -> views.currentLimits(team), conflictMessage));
  }

  private void conflict(Exchange exchange, String team, String reason) {
    OperatorWrites.conflict(exchange, views.currentLimits(team), reason);
  }
}

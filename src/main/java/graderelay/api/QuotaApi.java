package graderelay.api;

import graderelay.core.Scheduler;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import graderelay.state.Cache;
import graderelay.state.StateClient;
import graderelay.state.TeamLimits;
import graderelay.wire.BadRequestException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Operators' requests under {@code /admin/quota}. Any controller can change limits, by a
 * compare-and-swap on the latest record; requests that need the scheduler's state are relayed to
 * the leader. Runs on the event loop.
 */
public final class QuotaApi {
  private static final PathPrefix PREFIX = new PathPrefix("/admin/quota");
  private static final String RECOMPUTE = "/recompute";

  private static final ApiError LIMITS_NOT_STORED =
      ApiError.conflict(
          "limits are not stored: the cluster has not reached the feature level of stored-limits");

  /** A request that runs on the latest stored limits. */
  private interface StoredLimitsRequest {
    void run() throws BadRequestException;
  }

  private final Cache cache;
  private final TeamLimits limits;
  private final LeaderRoute leaderRoute;
  private final Predicate<String> replaceAccount;
  private final QuotaViews views;
  private final QuotaWrites writes;

  /**
   * Creates the handler.
   *
   * @param scheduler the scheduler while this controller is the leader, else null
   * @param replaceAccount rewrites a team's account on the leader; false if this controller is no
   *     longer the leader
   * @param member this controller's name
   */
  public QuotaApi(
      Loop loop,
      StateClient state,
      Cache cache,
      TeamLimits limits,
      Supplier<Scheduler> scheduler,
      LeaderRoute leaderRoute,
      Predicate<String> replaceAccount,
      String member) {
    this.cache = cache;
    this.limits = limits;
    this.leaderRoute = leaderRoute;
    this.replaceAccount = replaceAccount;
    this.views = new QuotaViews(cache, limits, scheduler);
    this.writes = new QuotaWrites(loop, state, cache, views, member);
  }

  /** True if the path is {@code /admin/quota} or is under it. */
  public static boolean matches(String path) {
    return PREFIX.matches(path);
  }

  /** Answers a request under {@code /admin/quota}: 405 for an unsupported method. */
  public void handle(Exchange exchange) {
    String remainder = PREFIX.remainder(exchange.path());
    boolean isRecompute = remainder.endsWith(RECOMPUTE);
    String name =
        isRecompute ? remainder.substring(0, remainder.length() - RECOMPUTE.length()) : remainder;
    String team;
    try {
      team = URLDecoder.decode(name, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException malformed) {
      ApiError.badRequest("the team's name in the path is not properly encoded").sendTo(exchange);
      return;
    }
    switch (exchange.method()) {
      case "GET" -> leaderRoute.handle(exchange, request -> views.show(request, team));
      case "PUT" -> runOnFreshRecords(exchange, () -> writes.change(exchange, team));
      case "DELETE" -> runOnFreshRecords(exchange, () -> writes.remove(exchange, team));
      case "POST" -> {
        if (isRecompute) {
          leaderRoute.handle(
              exchange, request -> runOnFreshRecords(request, () -> recompute(request, team)));
        } else {
          runOnFreshRecords(exchange, () -> writes.add(exchange, team, PREFIX));
        }
      }
      default -> ApiError.METHOD_NOT_ALLOWED.sendTo(exchange);
    }
  }

  /** Runs the request once the cache is up to date, if stored limits are in force. */
  private void runOnFreshRecords(Exchange exchange, StoredLimitsRequest request) {
    FreshRecords.run(
        cache,
        exchange,
        () -> {
          if (limits.usesStoredLimits()) {
            runOrReject(exchange, request);
          } else {
            LIMITS_NOT_STORED.sendTo(exchange);
          }
        });
  }

  private static void runOrReject(Exchange exchange, StoredLimitsRequest request) {
    try {
      request.run();
    } catch (BadRequestException malformed) {
      ApiError.badRequest(malformed.getMessage()).sendTo(exchange);
    }
  }

  private void recompute(Exchange exchange, String team) {
    if (cache.quota().limits(team) == null) {
      QuotaWrites.unknownTeam(team).sendTo(exchange);
    } else if (!replaceAccount.test(team)) {
      // The leader changed while the cache was catching up.
      ApiError.unavailable("the leader has changed during the request").sendTo(exchange);
    } else {
      Replies.message(exchange, "the account of team " + team + " is written anew from its claims");
    }
  }
}

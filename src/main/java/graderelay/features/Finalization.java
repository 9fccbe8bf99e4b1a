package graderelay.features;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Decides whether a higher feature level may be finalized, that is, put into use by all
 * controllers. Every configured controller must have published that it supports the level, and the
 * process that published this must have responded to probes without interruption for the soak time.
 */
final class Finalization {
  private Finalization() {}

  /** The highest level that all configured controllers have published support for. */
  static int commonLevel(Collection<String> configured, Map<String, Member> published) {
    int commonLevel = Feature.LATEST_LEVEL;
    for (String name : configured) {
      Member member = published.get(name);
      commonLevel =
          Math.min(commonLevel, member == null ? Feature.BASE_LEVEL : member.range().max());
    }
    return commonLevel;
  }

  /**
   * The controllers that prevent a level from being finalized; empty if it may be finalized now.
   *
   * @param soakS seconds for which each controller must have responded without interruption
   * @param now seconds on the clock of {@code liveness}
   */
  static List<Blocker> blockers(
      int level,
      Collection<String> configured,
      Map<String, Member> published,
      MemberLiveness liveness,
      double soakS,
      double now) {
    List<Blocker> blockers = new ArrayList<>();
    for (String name : configured) {
      Member member = published.get(name);
      String reason =
          member == null
              ? "has published no feature levels: it is of a version before them"
              : blockingReason(level, member, liveness, soakS, now);
      if (reason != null) {
        blockers.add(new Blocker(name, reason));
      }
    }
    return blockers;
  }

  /** Why a member prevents a level from being finalized, or null if it does not. */
  private static String blockingReason(
      int level, Member member, MemberLiveness liveness, double soakS, double now) {
    if (!member.range().supports(level)) {
      return "supports feature levels " + member.range();
    }
    double uptimeS = liveness.uninterruptedUptimeS(member.name(), member.incarnation(), now);
    if (Double.isNaN(uptimeS)) {
      return liveness.isResponding(member.name(), now)
          ? "was restarted and has not published its feature levels since"
          : "gives no answer";
    }
    return uptimeS >= soakS
        ? null
        : String.format(Locale.ROOT, "has been up for %.0f of %.0f s", Math.floor(uptimeS), soakS);
  }
}

package graderelay.features;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Decides whether the cluster may go to a higher feature level: every configured controller must
 * have published that it supports it, and the process that published it must have been heard
 * without a gap for a soak time.
 */
final class Finalization {
  private Finalization() {}

  /** The highest level that all configured controllers have published support for. */
  static int commonLevel(Collection<String> configured, Map<String, Member> published) {
    int common = Feature.LATEST_LEVEL;
    for (String name : configured) {
      Member m = published.get(name);
      common = Math.min(common, m == null ? Feature.BASE_LEVEL : m.range().max());
    }
    return common;
  }

  /** What keeps the cluster from a level; empty if it may be finalized now. */
  static List<Blocker> blockers(
      int level,
      Collection<String> configured,
      Map<String, Member> published,
      MemberLiveness liveness,
      double soakS,
      double now) {
    List<Blocker> blockers = new ArrayList<>();
    for (String name : configured) {
      Member m = published.get(name);
      String reason =
          m == null
              ? "has published no feature levels: it is of a version before them"
              : reason(level, m, liveness, soakS, now);
      if (reason != null) {
        blockers.add(new Blocker(name, reason));
      }
    }
    return blockers;
  }

  private static String reason(
      int level, Member m, MemberLiveness liveness, double soakS, double now) {
    if (!m.range().supports(level)) {
      return "supports feature levels " + m.range();
    }
    double steadyS = liveness.steadyS(m.name(), m.incarnation(), now);
    if (Double.isNaN(steadyS)) {
      return liveness.hears(m.name(), now)
          ? "was restarted and has not published its feature levels since"
          : "gives no answer";
    }
    return steadyS >= soakS
        ? null
        : String.format(
            java.util.Locale.ROOT, "has been up for %.0f of %.0f s", Math.floor(steadyS), soakS);
  }
}

package graderelay.features;

import java.util.HashMap;
import java.util.Map;

/**
 * Since when each controller has been heard without a gap as one and the same process. A record
 * says what a process supported when it began; only an answer of that very process shows that it is
 * still there and that no other, older one has taken its place.
 */
final class MemberLiveness {
  /** The process that answered last, and the seconds of the first and last answer it gave. */
  private record Heard(String incarnation, double since, double last) {}

  private final double mostSilentS;
  private final Map<String, Heard> heard = new HashMap<>();

  /**
   * Knows nobody yet.
   *
   * @param mostSilentS seconds without an answer after which a controller counts as not heard
   */
  MemberLiveness(double mostSilentS) {
    this.mostSilentS = mostSilentS;
  }

  /** A controller has answered a question that was sent at {@code sentAt}. */
  void heard(String member, String incarnation, double sentAt) {
    Heard before = heard.get(member);
    boolean goesOn =
        before != null
            && before.incarnation().equals(incarnation)
            && sentAt - before.last() <= mostSilentS;
    double since = goesOn ? before.since() : sentAt;
    double last = goesOn ? Math.max(before.last(), sentAt) : sentAt;
    heard.put(member, new Heard(incarnation, since, last));
  }

  /** Seconds for which that process has been heard, or NaN if it is not heard now. */
  double steadyS(String member, String incarnation, double now) {
    Heard latest = heard.get(member);
    boolean here =
        latest != null
            && latest.incarnation().equals(incarnation)
            && now - latest.last() <= mostSilentS;
    return here ? now - latest.since() : Double.NaN;
  }

  /** True if a process of the controller is heard, though perhaps another one. */
  boolean hears(String member, double now) {
    Heard latest = heard.get(member);
    return latest != null && now - latest.last() <= mostSilentS;
  }

  /** Forgets every answer. */
  void clear() {
    heard.clear();
  }
}

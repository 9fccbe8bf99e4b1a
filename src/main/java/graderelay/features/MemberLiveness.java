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
  private record ResponseHistory(
      String incarnation, double firstProbeSentAt, double lastProbeSentAt) {}

  private final double maxSilenceS;
  private final Map<String, ResponseHistory> histories = new HashMap<>();

  /**
   * Knows nobody yet.
   *
   * @param mostSilentS seconds without an answer after which a controller counts as not heard
   */
  MemberLiveness(double maxSilenceS) {
    this.maxSilenceS = maxSilenceS;
  }

  /** A controller has answered a question that was sent at {@code sentAt}. */
  void onResponse(String member, String incarnation, double sentAt) {
    ResponseHistory history = histories.get(member);
    boolean uninterrupted =
        history != null
            && history.incarnation().equals(incarnation)
            && sentAt - history.lastProbeSentAt() <= maxSilenceS;
    double firstProbeSentAt = uninterrupted ? history.firstProbeSentAt() : sentAt;
    double lastProbeSentAt = uninterrupted ? Math.max(history.lastProbeSentAt(), sentAt) : sentAt;
    histories.put(member, new ResponseHistory(incarnation, firstProbeSentAt, lastProbeSentAt));
  }

  /** Seconds for which that process has been heard, or NaN if it is not heard now. */
  double uninterruptedUptimeS(String member, String incarnation, double now) {
    ResponseHistory history = histories.get(member);
    boolean responding =
        history != null
            && history.incarnation().equals(incarnation)
            && now - history.lastProbeSentAt() <= maxSilenceS;
    return responding ? now - history.firstProbeSentAt() : Double.NaN;
  }

  /** True if a process of the controller is heard, though perhaps another one. */
  boolean isResponding(String member, double now) {
    ResponseHistory history = histories.get(member);
    return history != null && now - history.lastProbeSentAt() <= maxSilenceS;
  }

  /** Forgets every answer. */
  void clear() {
    histories.clear();
  }
}

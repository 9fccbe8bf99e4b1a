package graderelay.features;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks for how long the same process of each controller has responded without interruption. A
 * member record only shows what a process supported when it started; a response of that process
 * proves that it is still running and was not replaced by an older version.
 */
final class MemberLiveness {
  /** The process that responded last, and when the first and last probes it answered were sent. */
  private record ResponseHistory(
      String incarnation, double firstProbeSentAt, double lastProbeSentAt) {}

  private final double maxSilenceS;
  private final Map<String, ResponseHistory> histories = new HashMap<>();

  /**
   * Creates an instance without any responses.
   *
   * @param maxSilenceS seconds without a response after which a controller is considered
   *     unresponsive
   */
  MemberLiveness(double maxSilenceS) {
    this.maxSilenceS = maxSilenceS;
  }

  /** Records a controller's response to a probe that was sent at {@code sentAt}. */
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

  /**
   * Seconds for which the process has responded without interruption, or NaN if it does not now.
   */
  double uninterruptedUptimeS(String member, String incarnation, double now) {
    ResponseHistory history = histories.get(member);
    boolean responding =
        history != null
            && history.incarnation().equals(incarnation)
            && now - history.lastProbeSentAt() <= maxSilenceS;
    return responding ? now - history.firstProbeSentAt() : Double.NaN;
  }

  /** True if any process of the controller responds. */
  boolean isResponding(String member, double now) {
    ResponseHistory history = histories.get(member);
    return history != null && now - history.lastProbeSentAt() <= maxSilenceS;
  }

  /** Removes all responses. */
  void clear() {
    histories.clear();
  }
}

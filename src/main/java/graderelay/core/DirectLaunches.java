package graderelay.core;

import java.util.HashMap;
import java.util.Map;

/**
 * The direct launches to one worker session that may still reach the worker, for the first time or
 * once more as a delayed copy. A worker that has forgotten an attempt starts it again when such a
 * launch arrives, however late. It refuses the launch once it has seen a higher term.
 */
final class DirectLaunches {
  private final Map<AttemptKey, Long> termByAttempt = new HashMap<>();

  /** Records that a launch is sent directly, under the given term. */
  void onSent(AttemptKey attempt, long term) {
    termByAttempt.put(attempt, term);
  }

  /** Records that a launch was never sent, or that the worker refused its message for good. */
  void onUndeliverable(AttemptKey attempt) {
    termByAttempt.remove(attempt);
  }

  /** Records the highest term that the worker has seen: it refuses all launches of lower terms. */
  void onReportedTerm(long term) {
    termByAttempt.values().removeIf(launchTerm -> launchTerm < term);
  }

  /** Records that the worker has a new session: it refuses all launches of the old one. */
  void onNewSession() {
    termByAttempt.clear();
  }

  /** True if a worker that has seen this term can no longer start the attempt. */
  boolean isFencedBy(long term, AttemptKey attempt) {
    Long launchTerm = termByAttempt.get(attempt);
    return launchTerm == null || launchTerm < term;
  }
}

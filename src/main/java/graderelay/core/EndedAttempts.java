package graderelay.core;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Remembers attempts whose claims have ended lately, to explain why a worker lists an attempt that
 * has no claim. Used for the log only; no decision depends on it.
 */
final class EndedAttempts {
  /** Number of attempts that are remembered; the oldest are forgotten first. */
  private static final int MAX_REMEMBERED = 2_000;

  /** An attempt on one machine. */
  private record MachineAttempt(String machine, AttemptKey attempt) {}

  private static final class Ended {
    /** False if no claim of the attempt is remembered. */
    final boolean claimKnown;

    final long session;
    final long launchTerm;
    final double endedAt;
    double reapedAt = Double.NaN;
    boolean reported;

    Ended(Claim claim, double endedAt) {
      this.claimKnown = true;
      this.session = claim.session;
      this.launchTerm = claim.launchTerm;
      this.endedAt = endedAt;
    }

    /** An attempt that was listed without any claim that is remembered. */
    Ended() {
      this.claimKnown = false;
      this.session = 0;
      this.launchTerm = 0;
      this.endedAt = Double.NaN;
    }
  }

  private final Map<MachineAttempt, Ended> endedAttempts =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<MachineAttempt, Ended> eldest) {
          return size() > MAX_REMEMBERED;
        }
      };

  /** Records the end of a claim. */
  void onClaimEnded(Claim claim, double now) {
    endedAttempts.put(
        new MachineAttempt(claim.machine, AttemptKey.of(claim)), new Ended(claim, now));
  }

  /** Records that the response to a heartbeat has the worker forget an attempt. */
  void onReaped(Machine machine, AttemptKey attempt, double now) {
    Ended ended = endedAttempts.get(new MachineAttempt(machine.name, attempt));
    if (ended != null) {
      ended.reapedAt = now;
    }
  }

  /**
   * Returns the text of a warning about an attempt that a worker lists as not exited although it
   * has no claim, or null if the same attempt was reported before.
   */
  String describeUnclaimed(Machine machine, AttemptKey attempt, Heartbeat heartbeat, double now) {
    Ended ended =
        endedAttempts.computeIfAbsent(
            new MachineAttempt(machine.name, attempt), key -> new Ended());
    if (ended.reported) {
      return null;
    }
    ended.reported = true;
    return String.format(
        Locale.ROOT,
        "%s lists %s attempt %d without a claim in heartbeat %d of session %d, term %d: %s",
        machine.name,
        attempt.task(),
        attempt.attempt(),
        heartbeat.seq(),
        heartbeat.session(),
        heartbeat.term(),
        ended.claimKnown ? describe(ended, now) : "no claim of it is remembered");
  }

  private static String describe(Ended ended, double now) {
    String reaped =
        Double.isNaN(ended.reapedAt)
            ? "not reaped"
            : String.format(Locale.ROOT, "reaped %.1f s ago", now - ended.reapedAt);
    return String.format(
        Locale.ROOT,
        "its claim for session %d ended %.1f s ago, it was launched under term %d, %s",
        ended.session,
        now - ended.endedAt,
        ended.launchTerm,
        reaped);
  }
}

package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stands for election while there is no leader: waits until no pledge and no suspension keeps this
 * controller from it, makes an {@link ElectionAttempt}, and tries again after a random pause if it
 * fails.
 */
final class LeaderElection {
  /** Seconds of pause before a controller stands again, with as much again at random. */
  private static final double RETRY_S = 0.15;

  /** Seconds between looks of a suspended controller whether it may stand. */
  private static final double SUSPENSION_CHECK_S = 0.5;

  /** Seconds after the end of a pledge at which a controller stands. */
  private static final double AFTER_PLEDGE_S = 0.005;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Candidate self;
  private final double leaseS;
  private final DoubleSupplier random;
  private final LeaderStatus status;
  private final GivenPledges pledges;
  private final OwnSuspension suspension;
  private final Runnable considerLeadership;
  private final Consumer<WonElection> onWon;

  /** An attempt, or the wait for one, is under way. */
  private boolean busy;

  /**
   * Takes part in no election yet.
   *
   * @param leaseS length of a leader's session lease, in seconds
   * @param considerLeadership looks again at who leads, and stands for election if nobody does
   * @param onWon makes this controller the leader
   */
  LeaderElection(
      Loop loop,
      StateClient state,
      Cache cache,
      Candidate self,
      double leaseS,
      DoubleSupplier random,
      LeaderStatus status,
      GivenPledges pledges,
      Runnable considerLeadership,
      Consumer<WonElection> onWon) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.leaseS = leaseS;
    this.random = random;
    this.status = status;
    this.pledges = pledges;
    this.suspension = new OwnSuspension(loop, state, cache, self);
    this.considerLeadership = considerLeadership;
    this.onWon = onWon;
  }

  /** True while an attempt, or the wait for one, is under way. */
  boolean isBusy() {
    return busy;
  }

  /** Stands for election if there is no leader; to be called while this controller is none. */
  void consider() {
    if (busy) {
      return;
    }
    StateCodec.LeaderRecord record = cache.leader();
    if (record == null) {
      afterPause(random.getAsDouble() * RETRY_S / 3, this::stand);
    } else if (record.member().equals(self.member())) {
      // Our own earlier process, which is dead: nobody else runs under our name.
      endEarlierSessionLease();
    }
  }

  /** Looks again at who leads after a random pause, with the records as they are then. */
  void retryLater() {
    afterPause(
        RETRY_S * (1 + random.getAsDouble()), () -> cache.catchUp(ok -> considerLeadership.run()));
  }

  private void afterPause(double seconds, Runnable next) {
    busy = true;
    loop.after(
        seconds,
        () -> {
          busy = false;
          if (status.isActiveFollower()) {
            next.run();
          }
        });
  }

  /** Revokes the session lease of this controller's earlier process, so that its record goes. */
  private void endEarlierSessionLease() {
    busy = true;
    state.get(
        cache.election().leaderKey(),
        Use.RENEWAL,
        result -> {
          busy = false;
          long lease = result.succeeded() ? result.entry().sessionLease() : 0;
          if (lease > 0 && isOurRecord(result.entry()) && !status.isLeader()) {
            LOG.info("revoking the session lease of this controller's earlier process");
            state.revokeSessionLease(lease, ended -> retryLater());
          } else {
            retryLater();
          }
        });
  }

  private boolean isOurRecord(StoreEntry entry) {
    return StateCodec.decodeLeader(entry.value()).member().equals(self.member());
  }

  private void stand() {
    // If the last leader was an earlier process of ours, nobody else can rely on a pledge. The
    // transaction is conditioned on the term record that says so.
    boolean succeedsItself = self.member().equals(cache.election().termMember());
    if (cache.leader() != null || !cache.features().gate().isOpen()) {
      return;
    }
    double pledgedS = pledges.standsNotBefore(succeedsItself) - loop.now();
    if (pledgedS > 0) {
      afterPause(pledgedS + AFTER_PLEDGE_S, considerLeadership);
      return;
    }
    if (suspension.mustBeLeft()) {
      leaveSuspension();
      return;
    }
    double suspendedS = suspension.remainingS();
    if (suspendedS > 0) {
      // Looked at again soon: the leader may lift the suspension meanwhile.
      afterPause(Math.min(suspendedS, SUSPENSION_CHECK_S), considerLeadership);
      return;
    }
    busy = true;
    new ElectionAttempt(
            loop, state, cache, self, suspension, leaseS, won -> onAttemptEnd(won, succeedsItself))
        .start();
  }

  private void leaveSuspension() {
    busy = true;
    suspension.beginToLeave(
        () -> {
          busy = false;
          retryLater();
        });
  }

  private void onAttemptEnd(Optional<WonElection> won, boolean succeedsItself) {
    busy = false;
    if (won.isEmpty()) {
      retryLater();
    } else if (loop.now() < pledges.standsNotBefore(succeedsItself)) {
      // Pledged meanwhile: the peer may still act as the leader.
      state.revokeSessionLease(won.get().sessionLease(), ended -> {});
      retryLater();
    } else {
      onWon.accept(won.get());
    }
  }
}

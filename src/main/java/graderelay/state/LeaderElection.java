package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stands for election while there is no leader: waits until neither a pledge nor a suspension
 * prevents it, makes an {@link ElectionAttempt}, and retries after a random delay if that fails.
 */
final class LeaderElection {
  /** Shortest seconds before another attempt, with up to as many again added at random. */
  private static final double MIN_RETRY_DELAY_S = 0.15;

  /** Seconds between checks of a suspended controller whether it may stand for election. */
  private static final double SUSPENSION_CHECK_INTERVAL_S = 0.5;

  /** Seconds between the end of a pledge and the next check whether to stand for election. */
  private static final double DELAY_AFTER_PLEDGE_S = 0.005;

  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final Candidate self;
  private final double sessionLeaseS;
  private final DoubleSupplier random;
  private final LeaderStatus status;
  private final GivenPledges givenPledges;
  private final OwnSuspension ownSuspension;
  private final Runnable reconcile;
  private final Consumer<WonElection> onWon;

  /** An attempt is in progress, or a delay before the next one. */
  private boolean attemptPending;

  /**
   * Creates an election in which this controller does not take part yet.
   *
   * @param sessionLeaseS the TTL of a leader's session lease, in seconds
   * @param reconcile acts on the current election records, see {@link Leadership#reconcile}
   * @param onWon makes this controller the leader
   */
  LeaderElection(
      Loop loop,
      StateClient stateClient,
      Cache cache,
      Candidate self,
      double sessionLeaseS,
      DoubleSupplier random,
      LeaderStatus status,
      GivenPledges givenPledges,
      Runnable reconcile,
      Consumer<WonElection> onWon) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.self = self;
    this.sessionLeaseS = sessionLeaseS;
    this.random = random;
    this.status = status;
    this.givenPledges = givenPledges;
    this.ownSuspension = new OwnSuspension(loop, stateClient, cache, self);
    this.reconcile = reconcile;
    this.onWon = onWon;
  }

  /** True while an attempt is in progress, or a delay before the next one. */
  boolean isAttemptPending() {
    return attemptPending;
  }

  /** Stands for election if there is no leader; to be called only while this one does not lead. */
  void standIfLeaderless() {
    if (attemptPending) {
      return;
    }
    StateCodec.LeaderRecord record = cache.leader();
    if (record == null) {
      runAfterDelay(random.getAsDouble() * MIN_RETRY_DELAY_S / 3, this::standIfAllowed);
    } else if (record.member().equals(self.member())) {
      // The leader is an earlier process of this controller, which has ended: no two processes run
      // under one name.
      revokeEarlierSessionLease();
    }
  }

  /** Catches up with the records after a random delay and acts on them. */
  void retryLater() {
    runAfterDelay(
        MIN_RETRY_DELAY_S * (1 + random.getAsDouble()),
        () -> cache.catchUp(caughtUp -> reconcile.run()));
  }

  private void runAfterDelay(double delayS, Runnable action) {
    attemptPending = true;
    loop.schedule(
        delayS,
        () -> {
          attemptPending = false;
          if (status.isActiveFollower()) {
            action.run();
          }
        });
  }

  /** Revokes the session lease of an earlier process, which deletes its leader record. */
  private void revokeEarlierSessionLease() {
    attemptPending = true;
    stateClient.get(
        cache.election().leaderKey(),
        CallPriority.RENEWAL,
        result -> {
          attemptPending = false;
          long lease = result.succeeded() ? result.entry().sessionLease() : 0;
          if (lease > 0 && isOwnRecord(result.entry()) && !status.isLeader()) {
            LOG.info("revoking the session lease of an earlier process of this controller");
            stateClient.revokeSessionLease(lease, revoked -> retryLater());
          } else {
            retryLater();
          }
        });
  }

  private boolean isOwnRecord(StoreEntry entry) {
    return StateCodec.decodeLeader(entry.value()).member().equals(self.member());
  }

  private void standIfAllowed() {
    // If the last leader was an earlier process of this controller, no other process relies on a
    // pledge to a leader. The election transaction is conditioned on the term record that shows it.
    boolean wasLastLeader = self.member().equals(cache.election().termWinner());
    if (cache.leader() != null || !cache.features().gate().isOpen()) {
      return;
    }
    double remainingPledgeS = givenPledges.earliestStandTime(wasLastLeader) - loop.now();
    if (remainingPledgeS > 0) {
      runAfterDelay(remainingPledgeS + DELAY_AFTER_PLEDGE_S, reconcile);
      return;
    }
    if (ownSuspension.mustStartLeaving()) {
      leaveSuspension();
      return;
    }
    double remainingSuspensionS = ownSuspension.remainingS();
    if (remainingSuspensionS > 0) {
      // Checked often: the leader may lift the suspension before it ends.
      runAfterDelay(Math.min(remainingSuspensionS, SUSPENSION_CHECK_INTERVAL_S), reconcile);
      return;
    }
    attemptPending = true;
    new ElectionAttempt(
            loop,
            stateClient,
            cache,
            self,
            ownSuspension,
            sessionLeaseS,
            won -> onAttemptFinished(won, wasLastLeader))
        .start();
  }

  private void leaveSuspension() {
    attemptPending = true;
    ownSuspension.startLeaving(
        () -> {
          attemptPending = false;
          retryLater();
        });
  }

  private void onAttemptFinished(Optional<WonElection> won, boolean wasLastLeader) {
    attemptPending = false;
    if (won.isEmpty()) {
      retryLater();
    } else if (loop.now() < givenPledges.earliestStandTime(wasLastLeader)) {
      // A pledge was given during the attempt: the peer that has it may still act as the leader.
      stateClient.revokeSessionLease(won.get().sessionLease(), revoked -> {});
      retryLater();
    } else {
      onWon.accept(won.get());
    }
  }
}

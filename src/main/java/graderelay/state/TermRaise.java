package graderelay.state;

import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import graderelay.wire.StateCodec.TermRecord;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the term while this controller leads, so that workers refuse commands of the old term:
 * within the reserved terms, which needs no access to the key-value store, or by reserving further
 * ones there, alone or together with a change of the cluster's feature level.
 */
final class TermRaise {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient stateClient;
  private final Cache cache;
  private final Candidate self;
  private final LeaderStatus status;
  private final LeaderTenure tenure;
  private final Runnable reconcile;
  private boolean inProgress;

  TermRaise(
      StateClient stateClient,
      Cache cache,
      Candidate self,
      LeaderStatus status,
      LeaderTenure tenure,
      Runnable reconcile) {
    this.stateClient = stateClient;
    this.cache = cache;
    this.self = self;
    this.status = status;
    this.tenure = tenure;
    this.reconcile = reconcile;
  }

  /** True while a raise is in progress, so that the leader record may have a newer revision. */
  boolean isInProgress() {
    return inProgress;
  }

  /** Raises the term; calls back with the new term, or with 0 on failure. */
  void raise(Consumer<Long> done) {
    if (!tenure.mayAct()) {
      done.accept(0L);
    } else if (status.raiseTermWithinReservation()) {
      LOG.debug("raised the term to {}", status.term());
      done.accept(status.term());
    } else if (inProgress) {
      done.accept(0L);
    } else {
      raiseInStore(done);
    }
  }

  private void raiseInStore(Consumer<Long> done) {
    inProgress = true;
    TermRecord newTerms = newTerms();
    long newTerm = newTerms.firstTerm();
    ElectionRecords election = cache.election();
    Transaction transaction =
        new Transaction()
            .when(election.leaderKey(), status.leaderRevision())
            .when(StateCodec.TERM, election.termRevision())
            .put(StateCodec.TERM, StateCodec.encodeTerm(newTerms))
            .put(
                election.leaderKey(),
                StateCodec.encodeLeader(self.leaderRecord(newTerm)),
                status.sessionLease());
    stateClient.commit(
        transaction,
        CallPriority.RENEWAL,
        result -> {
          if (!result.succeeded()) {
            LOG.info("raising the term to {} failed: {}", newTerm, result.outcome());
          }
          onResult(newTerms, result);
          done.accept(result.succeeded() ? newTerm : 0L);
        });
  }

  /** The terms that follow the ones reserved so far. */
  private TermRecord newTerms() {
    return TermReservation.from(status.lastReservedTerm() + 1, self.member());
  }

  /**
   * Changes the cluster's feature level and raises the term.
   *
   * @param otherChangeInProgress a change of a suspension or an election is in progress
   * @param onRaised called with the new term, once the records show the new level
   */
  void changeLevel(
      LevelChange change,
      boolean otherChangeInProgress,
      LongConsumer onRaised,
      Consumer<StoreOutcome> done) {
    boolean mustWait =
        inProgress
            || otherChangeInProgress
            || change.mustWaitForSuspensions(cache.features(), cache.election());
    if (!tenure.mayAct() || mustWait) {
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    if (!change.fitsTransactionLimit()) {
      LOG.error(
          "can't change the feature level: the transaction exceeds the key-value store's limit");
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    inProgress = true;
    TermRecord newTerms = newTerms();
    long newTerm = newTerms.firstTerm();
    stateClient.commit(
        change.transaction(
            cache.features(),
            cache.election(),
            newTerms,
            self.leaderRecord(newTerm),
            status.leaderRevision(),
            status.sessionLease()),
        CallPriority.RENEWAL,
        result -> {
          onResult(newTerms, result);
          if (result.succeeded()) {
            // Earlier, the transactions of this leader would be conditioned on the old level.
            cache.catchUp(caughtUp -> onRaised.accept(newTerm));
          }
          done.accept(result.outcome());
        });
  }

  private void onResult(TermRecord newTerms, StoreResult result) {
    inProgress = false;
    if (result.succeeded()) {
      status.raiseTerm(newTerms, result.revision());
      LOG.info("raised the term to {}", status.term());
    } else if (result.outcome() == StoreOutcome.UNKNOWN) {
      // Writes are conditioned on the revision of the leader record, which depends on whether the
      // raise was committed. A new election is simpler than finding out.
      tenure.resign("raising the term has an unknown outcome");
    } else {
      cache.catchUp(caughtUp -> reconcile.run());
    }
  }
}

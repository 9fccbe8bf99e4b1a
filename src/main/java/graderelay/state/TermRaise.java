package graderelay.state;

import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Raises the term of this controller's own leadership, so that workers refuse what was sent under
 * the old one; by itself, or together with a change of the cluster's feature level.
 */
final class TermRaise {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private final StateClient state;
  private final Cache cache;
  private final Candidate self;
  private final LeaderStatus status;
  private final LeaderTenure tenure;
  private final Runnable considerElection;
  private boolean busy;

  TermRaise(
      StateClient state,
      Cache cache,
      Candidate self,
      LeaderStatus status,
      LeaderTenure tenure,
      Runnable considerElection) {
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.status = status;
    this.tenure = tenure;
    this.considerElection = considerElection;
  }

  /** True while a raise has no answer yet: the leader record may be newer than we know. */
  boolean isBusy() {
    return busy;
  }

  /** Raises the term; calls back with the new term, or with 0 if it could not be raised. */
  void raise(Consumer<Long> done) {
    if (!tenure.mayAct() || busy) {
      done.accept(0L);
      return;
    }
    busy = true;
    long newTerm = status.term() + 1;
    ElectionRecords election = cache.election();
    Transaction txn =
        new Transaction()
            .when(election.leaderKey(), status.recordRevision())
            .when(StateCodec.TERM, election.termRevision())
            .put(StateCodec.TERM, StateCodec.encodeTerm(newTerm, self.member()))
            .put(
                election.leaderKey(),
                StateCodec.encodeLeader(self.leaderRecord(newTerm)),
                status.sessionLease());
    state.commit(
        txn,
        Use.RENEWAL,
        result -> {
          onResult(newTerm, result);
          done.accept(result.succeeded() ? newTerm : 0L);
        });
  }

  /**
   * Changes the cluster's feature level under a raised term.
   *
   * @param otherChange a change of a suspension or an election is under way
   * @param onRaised takes the new term, once the records show the new level
   */
  void changeLevel(
      LevelChange change, boolean otherChange, LongConsumer onRaised, Consumer<StoreOutcome> done) {
    boolean mustWait = busy || otherChange || change.mustWait(cache.features(), cache.election());
    if (!tenure.mayAct() || mustWait) {
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    if (!change.fits()) {
      LOG.error("the key-value store's transactions are too small to change the feature level");
      done.accept(StoreOutcome.NOT_EXECUTED);
      return;
    }
    busy = true;
    long newTerm = status.term() + 1;
    state.commit(
        change.transaction(
            cache.features(),
            cache.election(),
            self.leaderRecord(newTerm),
            status.recordRevision(),
            status.sessionLease()),
        Use.RENEWAL,
        result -> {
          onResult(newTerm, result);
          if (result.succeeded()) {
            // Before that our own transactions would be conditioned on the level of before.
            cache.catchUp(ok -> onRaised.accept(newTerm));
          }
          done.accept(result.outcome());
        });
  }

  private void onResult(long newTerm, StoreResult result) {
    busy = false;
    if (result.succeeded()) {
      status.raiseTerm(newTerm, result.revision());
      LOG.info("raised the term to {}", newTerm);
    } else if (result.outcome() == StoreOutcome.UNKNOWN) {
      // Whether it committed decides under which revision we may write: rather start over.
      tenure.resign("a raise of the term had no answer");
    } else {
      cache.catchUp(ok -> considerElection.run());
    }
  }
}

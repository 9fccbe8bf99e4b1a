package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.CallPriority;
import graderelay.wire.StateCodec;
import graderelay.wire.StateCodec.TermRecord;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One attempt to become the leader: creates a session lease, then writes the leader record of the
 * next term and attaches it to the lease. If the answer to that transaction is lost, the outcome is
 * read from the leader record, which is possible until the lease expires.
 */
final class ElectionAttempt {
  /** Seconds between reads of the leader record that find out the outcome of a transaction. */
  private static final double OUTCOME_READ_RETRY_DELAY_S = 0.15;

  private final Loop loop;
  private final StateClient stateClient;
  private final Cache cache;
  private final Candidate self;
  private final OwnSuspension ownSuspension;
  private final double sessionLeaseS;
  private final Consumer<Optional<WonElection>> done;
  private final double leaseRequestedAt;
  private long sessionLease;
  private TermRecord terms;

  /**
   * Creates an attempt that is started at once with {@link #start}.
   *
   * @param sessionLeaseS the TTL of the session lease, in seconds
   * @param done called once, with the won election, or empty if the attempt failed
   */
  ElectionAttempt(
      Loop loop,
      StateClient stateClient,
      Cache cache,
      Candidate self,
      OwnSuspension ownSuspension,
      double sessionLeaseS,
      Consumer<Optional<WonElection>> done) {
    this.loop = loop;
    this.stateClient = stateClient;
    this.cache = cache;
    this.self = self;
    this.ownSuspension = ownSuspension;
    this.sessionLeaseS = sessionLeaseS;
    this.done = done;
    this.leaseRequestedAt = loop.now();
  }

  /** Starts the attempt; to be called once. */
  void start() {
    stateClient.createSessionLease(
        (long) (sessionLeaseS * 1000),
        created -> {
          if (created.succeeded()) {
            sessionLease = created.createdSessionLease();
            writeLeaderRecord();
          } else {
            done.accept(Optional.empty());
          }
        });
  }

  private void writeLeaderRecord() {
    terms = TermReservation.from(cache.term() + 1, self.member());
    if (ownSuspension.mustStartLeaving()) {
      abort(); // Suspended, possibly again, while the lease was created.
      return;
    }
    stateClient.commit(
        leaderRecordTransaction(),
        CallPriority.RENEWAL,
        result -> {
          switch (result.outcome()) {
            case SUCCEEDED -> finishWon(result.revision());
            case UNKNOWN -> readOutcome();
            default -> abort();
          }
        });
  }

  private Transaction leaderRecordTransaction() {
    ElectionRecords election = cache.election();
    Transaction transaction =
        new Transaction()
            .when(election.leaderKey(), 0)
            .when(StateCodec.TERM, election.termRevision())
            .put(StateCodec.TERM, StateCodec.encodeTerm(terms))
            .put(
                election.leaderKey(),
                StateCodec.encodeLeader(self.leaderRecord(terms.firstTerm())),
                sessionLease);
    ownSuspension.deleteIn(transaction);
    return transaction;
  }

  /** Reads the outcome from the leader record after the answer to the transaction was lost. */
  private void readOutcome() {
    if (loop.now() > leaseRequestedAt + sessionLeaseS) {
      done.accept(Optional.empty());
      return;
    }
    stateClient.get(
        cache.election().leaderKey(),
        CallPriority.RENEWAL,
        result -> {
          if (result.succeeded() && isOwnRecord(result.entry())) {
            finishWon(result.entry().revision());
          } else if (result.succeeded() || result.outcome() == StoreOutcome.NOT_FOUND) {
            abort(); // A delayed copy of the transaction must fail.
          } else {
            loop.schedule(OUTCOME_READ_RETRY_DELAY_S, this::readOutcome);
          }
        });
  }

  private boolean isOwnRecord(StoreEntry entry) {
    StateCodec.LeaderRecord record = StateCodec.decodeLeader(entry.value());
    return record.member().equals(self.member())
        && record.term() == terms.firstTerm()
        && entry.sessionLease() == sessionLease;
  }

  private void finishWon(long leaderRevision) {
    done.accept(
        Optional.of(new WonElection(terms, leaderRevision, sessionLease, leaseRequestedAt)));
  }

  /** Revokes the session lease, so that no leader record can be attached to it later. */
  private void abort() {
    stateClient.revokeSessionLease(sessionLease, revoked -> {});
    done.accept(Optional.empty());
  }
}

package graderelay.state;

import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.wire.StateCodec;
import graderelay.wire.StoreCodec.StoreEntry;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One attempt to become the leader: creates a session lease, then writes the leader record attached
 * to it, under the next term. If the answer to that transaction is lost, the record itself tells
 * its outcome, as long as the lease lives.
 */
final class ElectionAttempt {
  /** Seconds before the leader record is read again, to find out how the attempt ended. */
  private static final double RESOLVE_RETRY_S = 0.15;

  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Candidate self;
  private final OwnSuspension suspension;
  private final double leaseS;
  private final Consumer<Optional<WonElection>> done;
  private final double leaseSentAt;
  private long sessionLease;
  private long term;

  /**
   * Makes an attempt that begins now.
   *
   * @param leaseS length of the session lease, in seconds
   * @param done called once, with the won election or with nothing
   */
  ElectionAttempt(
      Loop loop,
      StateClient state,
      Cache cache,
      Candidate self,
      OwnSuspension suspension,
      double leaseS,
      Consumer<Optional<WonElection>> done) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.suspension = suspension;
    this.leaseS = leaseS;
    this.done = done;
    this.leaseSentAt = loop.now();
  }

  /** Starts the attempt; to be called once. */
  void start() {
    state.createSessionLease(
        (long) (leaseS * 1000),
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
    term = cache.term() + 1;
    if (suspension.mustBeLeft()) {
      abandon(); // We were suspended, or suspended anew, while the lease was created.
      return;
    }
    state.commit(
        leaderRecordTransaction(),
        Use.RENEWAL,
        result -> {
          switch (result.outcome()) {
            case SUCCEEDED -> won(result.revision());
            case UNKNOWN -> resolve();
            default -> abandon();
          }
        });
  }

  private Transaction leaderRecordTransaction() {
    ElectionRecords election = cache.election();
    Transaction txn =
        new Transaction()
            .when(election.leaderKey(), 0)
            .when(StateCodec.TERM, election.termRevision())
            .put(StateCodec.TERM, StateCodec.encodeTerm(term, self.member()))
            .put(
                election.leaderKey(),
                StateCodec.encodeLeader(self.leaderRecord(term)),
                sessionLease);
    suspension.removeIn(txn);
    return txn;
  }

  /** The answer was lost: the record tells, as long as the session lease lives. */
  private void resolve() {
    if (loop.now() > leaseSentAt + leaseS) {
      done.accept(Optional.empty());
      return;
    }
    state.get(
        cache.election().leaderKey(),
        Use.RENEWAL,
        result -> {
          if (result.succeeded() && isOurRecord(result.entry())) {
            won(result.entry().revision());
          } else if (result.succeeded() || result.outcome() == StoreOutcome.NOT_FOUND) {
            abandon(); // A late copy of the transaction must fail.
          } else {
            loop.after(RESOLVE_RETRY_S, this::resolve);
          }
        });
  }

  private boolean isOurRecord(StoreEntry entry) {
    StateCodec.LeaderRecord record = StateCodec.decodeLeader(entry.value());
    return record.member().equals(self.member())
        && record.term() == term
        && entry.sessionLease() == sessionLease;
  }

  private void won(long recordRevision) {
    done.accept(Optional.of(new WonElection(term, recordRevision, sessionLease, leaseSentAt)));
  }

  /** Revokes the session lease, so that no leader record can be attached to it any more. */
  private void abandon() {
    state.revokeSessionLease(sessionLease, ended -> {});
    done.accept(Optional.empty());
  }
}

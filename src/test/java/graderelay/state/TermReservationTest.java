package graderelay.state;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.wire.StateCodec.TermRecord;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that uses the term that is reserved for renewals without a leader, and
 * against one that goes on beyond its reservation, into the terms of a later leader.
 */
class TermReservationTest {
  private final LeaderStatus status = new LeaderStatus();

  @Test
  void leaderUsesAllReservedTermsButTheLast() {
    TermRecord terms = new TermRecord(7, 10, "m-0");
    status.startLeading(new WonElection(terms, 3, 1, 0));
    assertThat(status.term()).isEqualTo(7);
    assertThat(status.raiseTermWithinReservation()).isTrue();
    assertThat(status.raiseTermWithinReservation()).isTrue();
    assertThat(status.term()).isEqualTo(9);
    assertThat(status.raiseTermWithinReservation()).isFalse();
    assertThat(status.term()).isEqualTo(9);
  }

  @Test
  void furtherTermsFollowTheReservation() {
    status.startLeading(new WonElection(new TermRecord(7, 8, "m-0"), 3, 1, 0));
    assertThat(status.raiseTermWithinReservation()).isFalse();
    status.raiseTerm(TermReservation.from(status.lastReservedTerm() + 1, "m-0"), 4);
    assertThat(status.term()).isEqualTo(9);
    assertThat(status.raiseTermWithinReservation()).isTrue();
  }
}

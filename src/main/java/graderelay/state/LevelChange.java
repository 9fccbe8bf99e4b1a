package graderelay.state;

import graderelay.features.ClusterLevel;
import graderelay.features.Feature;
import graderelay.features.Member;
import graderelay.wire.FeatureCodec;
import graderelay.wire.StateCodec;
import java.util.Collection;
import java.util.List;

/**
 * A change of the cluster's feature level.
 *
 * @param to the level to come
 * @param unchanged records of members that must be as they were read
 * @param members all configured controllers
 * @param mostChanges puts and deletes that one transaction may have
 */
public record LevelChange(
    ClusterLevel to, Collection<Member> unchanged, List<String> members, int mostChanges) {
  /** Changes that the largest of these transactions has in any case. */
  private static final int FIXED_CHANGES = 4;

  /** Conditions beside those on members: leader, term and the fence. */
  private static final int FIXED_CONDITIONS = 3;

  /** True if the key-value store accepts a transaction of this size. */
  boolean fits() {
    return mostChanges >= FIXED_CHANGES
        && unchanged.size() + FIXED_CONDITIONS <= StateClient.maxConditions(mostChanges) + 1;
  }

  /** True if the elections go back to the open layout. */
  private boolean unseals(FeatureRecords features) {
    return features.sealed() && !to.has(Feature.SEALED_ELECTION);
  }

  /**
   * True if the change has to wait until no controller is suspended: a suspension has no place in
   * the other layout, and the leader lifts it once its peer answers.
   */
  boolean mustWait(FeatureRecords features, ElectionRecords election) {
    return unseals(features) && election.anySuspended();
  }

  /**
   * Makes the transaction, with the leader record where the new level has it and under a new term:
   * what workers are told under the old one is refused from then on.
   */
  Transaction transaction(
      FeatureRecords features,
      ElectionRecords election,
      StateCodec.LeaderRecord leader,
      long leaderRevision,
      long sessionLease) {
    Transaction txn =
        new Transaction()
            .when(election.leaderKey(), leaderRevision)
            .when(StateCodec.TERM, election.termRevision())
            .put(FeatureCodec.LEVEL, FeatureCodec.encodeLevel(to))
            .put(StateCodec.TERM, StateCodec.encodeTerm(leader.term(), leader.member()));
    unchanged.forEach(m -> txn.when(FeatureCodec.memberKey(m.name()), m.revision()));
    if (unseals(features)) {
      txn.put(StateCodec.LEADER, StateCodec.encodeLeader(leader), sessionLease)
          .delete(FeatureCodec.LEADER);
    } else if (features.sealed() || !to.has(Feature.SEALED_ELECTION)) {
      txn.put(election.leaderKey(), StateCodec.encodeLeader(leader), sessionLease);
    } else {
      seal(txn, leader, sessionLease);
    }
    return txn;
  }

  /** Moves the leader record to the sealed layout, and keeps older versions from winning. */
  private void seal(Transaction txn, StateCodec.LeaderRecord leader, long sessionLease) {
    txn.put(FeatureCodec.LEADER, StateCodec.encodeLeader(leader), sessionLease);
    // On no lease: it stays, and nobody who needs it gone wins an election any more.
    StateCodec.LeaderRecord nobody =
        new StateCodec.LeaderRecord(FeatureCodec.SEALED_LEADER, leader.term(), "");
    txn.put(StateCodec.LEADER, StateCodec.encodeLeader(nobody));
    int room = mostChanges - FIXED_CHANGES;
    for (String member : members.subList(0, Math.min(room, members.size()))) {
      txn.put(StateCodec.suspensionKey(member), StateCodec.encodeSuspension(""));
    }
  }
}

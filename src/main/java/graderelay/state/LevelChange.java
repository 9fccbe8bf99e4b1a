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
 * @param newLevel the new level
 * @param unchangedMembers the published member records that the change is conditioned on: they must
 *     not have been written since they were read
 * @param members the names of all configured controllers
 * @param maxChanges the maximum number of puts and deletes in a transaction
 */
public record LevelChange(
    ClusterLevel newLevel,
    Collection<Member> unchangedMembers,
    List<String> members,
    int maxChanges) {
  /** Changes in the largest of these transactions, without the suspensions of controllers. */
  private static final int FIXED_CHANGES = 4;

  /** Conditions besides those on members: on the leader, the term and the feature level. */
  private static final int FIXED_CONDITIONS = 3;

  /** True if the transaction is within the size limit of the key-value store. */
  boolean fitsTransactionLimit() {
    return maxChanges >= FIXED_CHANGES
        && unchangedMembers.size() + FIXED_CONDITIONS <= StateClient.maxConditions(maxChanges) + 1;
  }

  /** True if the change moves the election records back to the unsealed layout. */
  private boolean unsealsElections(FeatureRecords features) {
    return features.areElectionsSealed() && !newLevel.includes(Feature.SEALED_ELECTION);
  }

  /**
   * True if the change has to wait until no controller is suspended: suspensions are not moved to
   * the unsealed layout, and the leader lifts each one once the peer answers again.
   */
  boolean mustWaitForSuspensions(FeatureRecords features, ElectionRecords election) {
    return unsealsElections(features) && election.hasSuspensions();
  }

  /**
   * Builds the transaction, which writes the leader record in the layout of the new level and in a
   * new term: workers then refuse commands of the old term.
   */
  Transaction transaction(
      FeatureRecords features,
      ElectionRecords election,
      StateCodec.TermRecord terms,
      StateCodec.LeaderRecord leader,
      long leaderRevision,
      long sessionLease) {
    Transaction transaction =
        new Transaction()
            .when(election.leaderKey(), leaderRevision)
            .when(StateCodec.TERM, election.termRevision())
            .put(FeatureCodec.LEVEL, FeatureCodec.encodeLevel(newLevel))
            .put(StateCodec.TERM, StateCodec.encodeTerm(terms));
    unchangedMembers.forEach(
        member -> transaction.when(FeatureCodec.memberKey(member.name()), member.revision()));
    if (unsealsElections(features)) {
      transaction
          .put(StateCodec.LEADER, StateCodec.encodeLeader(leader), sessionLease)
          .delete(FeatureCodec.LEADER);
    } else if (features.areElectionsSealed() || !newLevel.includes(Feature.SEALED_ELECTION)) {
      transaction.put(election.leaderKey(), StateCodec.encodeLeader(leader), sessionLease);
    } else {
      sealElections(transaction, leader, sessionLease);
    }
    return transaction;
  }

  /**
   * Moves the leader record to the sealed layout, and keeps versions without sealed elections from
   * winning an election.
   */
  private void sealElections(
      Transaction transaction, StateCodec.LeaderRecord leader, long sessionLease) {
    transaction.put(FeatureCodec.LEADER, StateCodec.encodeLeader(leader), sessionLease);
    // Attached to no lease, so it is never deleted: a version that wins an election only if this
    // record does not exist can no longer win one.
    StateCodec.LeaderRecord placeholder =
        new StateCodec.LeaderRecord(FeatureCodec.SEALED_LEADER, leader.term(), "");
    transaction.put(StateCodec.LEADER, StateCodec.encodeLeader(placeholder));
    int maxSuspensions = maxChanges - FIXED_CHANGES;
    for (String member : members.subList(0, Math.min(maxSuspensions, members.size()))) {
      transaction.put(StateCodec.suspensionKey(member), StateCodec.encodeSuspension(""));
    }
  }
}

package graderelay.wire;

import graderelay.core.KnownCancellations;
import graderelay.net.Exchange.Answer;

/** What a controller answers another. {@link PeerCodec} has its form on the wire. */
public sealed interface PeerResponse {
  /**
   * To {@link PeerRequest.Pledge} and {@link PeerRequest.LeaderlessPledge}.
   *
   * @param reachesStore the peer is served by the key-value store at the moment
   */
  record PledgeResponse(boolean granted, boolean reachesStore, KnownCancellations cancellations)
      implements PeerResponse {}

  /**
   * To {@link PeerRequest.Share}.
   *
   * @param changeDemand that the peer made, or would have made, since it was last asked
   */
  record ShareResponse(double changeDemand) implements PeerResponse {}

  /** To {@link PeerRequest.Handover}. */
  record HandoverResponse() implements PeerResponse {}

  /**
   * To {@link PeerRequest.Delegation}.
   *
   * @param grant null if the peer grants nothing
   * @param cancellations null if the peer says nothing of them
   */
  record DelegationResponse(Grant grant, KnownCancellations cancellations)
      implements PeerResponse {}

  /** Makes the asker a lease delegate under a term, from the leader's time {@code at}. */
  record Grant(long term, long grantorTerm, double leaderTime) {}

  /**
   * To {@link PeerRequest.Identify}.
   *
   * @param incarnation tells this process from others of the same member
   */
  record IdentifyResponse(String incarnation) implements PeerResponse {}

  /** To a request that was passed on: what its sender is to be told. */
  record RelayedResponse(Answer response) implements PeerResponse {}
}

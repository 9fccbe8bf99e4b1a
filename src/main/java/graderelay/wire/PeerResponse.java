package graderelay.wire;

import graderelay.core.KnownCancellations;
import graderelay.net.Exchange.Response;

/** A response of one controller to another; {@link PeerCodec} encodes and decodes it. */
public sealed interface PeerResponse {
  /**
   * Response to {@link PeerRequest.Pledge} and {@link PeerRequest.LeaderlessPledge}.
   *
   * @param granted true if the peer pledges not to stand for election
   * @param reachesStore true if the peer currently gets responses from the key-value store
   */
  record PledgeResponse(boolean granted, boolean reachesStore, KnownCancellations cancellations)
      implements PeerResponse {}

  /**
   * Response to {@link PeerRequest.LendWriteCapacity}.
   *
   * @param changeDemand number of changes that the peer made, or would have made with sufficient
   *     write capacity, since the previous request
   */
  record LendWriteCapacityResponse(double changeDemand) implements PeerResponse {}

  /** Response to {@link PeerRequest.Handover}. */
  record HandoverResponse() implements PeerResponse {}

  /**
   * Response to {@link PeerRequest.Delegation}.
   *
   * @param grant null if the delegation is refused
   * @param cancellations null if the response contains none
   */
  record DelegationResponse(Grant grant, KnownCancellations cancellations)
      implements PeerResponse {}

  /**
   * Makes the requesting controller a lease delegate.
   *
   * @param term the term under which it may renew leases
   * @param grantorTerm the first term of the leader process that made the grant
   * @param leaderTime the time of the grant in seconds on the leader's clock
   */
  record Grant(long term, long grantorTerm, double leaderTime) {}

  /**
   * Response to {@link PeerRequest.Identify}.
   *
   * @param incarnation identifies the process among all processes of the same member
   */
  record IdentifyResponse(String incarnation) implements PeerResponse {}

  /** Response to a relayed request, to be returned to the original sender. */
  record RelayedResponse(Response response) implements PeerResponse {}
}

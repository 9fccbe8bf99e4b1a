package graderelay.wire;

import graderelay.core.KnownCancellations;
import graderelay.net.Exchange.Response;

/** What a controller answers another. {@link PeerCodec} has its form on the wire. */
public sealed interface PeerAnswer {
  /**
   * To {@link PeerRequest.Pledge} and {@link PeerRequest.KeepPledge}.
   *
   * @param reachesState the peer is served by the key-value store at the moment
   */
  record Pledged(boolean granted, boolean reachesState, KnownCancellations cancellations)
      implements PeerAnswer {}

  /**
   * To {@link PeerRequest.Share}.
   *
   * @param changes that the peer made, or would have made, since it was last asked
   */
  record Wanted(double changes) implements PeerAnswer {}

  /** To {@link PeerRequest.Handover}. */
  record Received() implements PeerAnswer {}

  /**
   * To {@link PeerRequest.Delegation}.
   *
   * @param grant null if the peer grants nothing
   * @param cancellations null if the peer says nothing of them
   */
  record Delegated(Grant grant, KnownCancellations cancellations) implements PeerAnswer {}

  /** Makes the asker a lease delegate under a term, from the leader's time {@code at}. */
  record Grant(long term, long grantedBy, double at) {}

  /**
   * To {@link PeerRequest.Identify}.
   *
   * @param incarnation tells this process from others of the same member
   */
  record Identified(String incarnation) implements PeerAnswer {}

  /** To a request that was passed on: what its sender is to be told. */
  record Relayed(Response answer) implements PeerAnswer {}
}

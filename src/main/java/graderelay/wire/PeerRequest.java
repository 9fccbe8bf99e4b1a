package graderelay.wire;

/** What one controller asks of another. {@link PeerCodec} has its form on the wire. */
public sealed interface PeerRequest {
  /** The leader can't renew its session lease and asks a peer not to stand for election. */
  record Pledge(String member, long term, double seconds) implements PeerRequest {}

  /** A controller that keeps workers' leases without a leader asks the same of a peer. */
  record LeaderlessPledge(String member, double seconds) implements PeerRequest {}

  /** The leader asks how a peer is and lends it changes a second for the moment. */
  record Share(String member, long term, double changesPerS) implements PeerRequest {}

  /**
   * The leader has stopped and leaves the leadership to a peer, which may end this session lease.
   */
  record Handover(String member, long term, long sessionLease) implements PeerRequest {}

  /**
   * A controller asks the leader to be its lease delegate in its own zone.
   *
   * @param incarnation tells this process from earlier ones of the same member
   * @param sequenceNumber the sequence number of the request
   * @param grantorTerm the term whose grant it has, 0 for none
   * @param leaderTime the leader's time of the last grant that it has heard of
   * @param sinceAutonomousResponseS seconds since it last answered workers by itself, or since its
   *     process began
   */
  record Delegation(
      String member,
      String incarnation,
      long sequenceNumber,
      long grantorTerm,
      double leaderTime,
      double sinceAutonomousResponseS)
      implements PeerRequest {}

  /** The leader asks which process a controller is. */
  record Identify(String member) implements PeerRequest {}

  /** Passes on a worker's heartbeat that came to this member. */
  record RelayedHeartbeat(String member, byte[] body) implements PeerRequest {}

  /** Passes on a user's request. */
  record RelayedUserRequest(String method, String path, byte[] body) implements PeerRequest {}

  /** Passes on an operator's request. */
  record RelayedAdminRequest(String method, String path, String query, byte[] body)
      implements PeerRequest {}
}

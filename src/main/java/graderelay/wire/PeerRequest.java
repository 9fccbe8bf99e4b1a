package graderelay.wire;

/** A request of one controller to another; {@link PeerCodec} encodes and decodes it. */
public sealed interface PeerRequest {
  /**
   * Requests a pledge not to stand for election, while the leader cannot renew its session lease.
   *
   * @param term the last term that the leader has reserved, as the term record has it
   * @param seconds duration of the pledge
   */
  record Pledge(String member, long term, double seconds) implements PeerRequest {}

  /**
   * Requests a pledge not to stand for election, while workers' leases are renewed without a
   * leader.
   *
   * @param seconds duration of the pledge
   */
  record LeaderlessPledge(String member, double seconds) implements PeerRequest {}

  /**
   * Sent by the leader to check a peer's health and to lend it write capacity until the next
   * request.
   *
   * @param term the last term that the leader has reserved, as the term record has it
   * @param changesPerS the peer's rate of changes to the key-value store, including the lent part
   */
  record LendWriteCapacity(String member, long term, double changesPerS) implements PeerRequest {}

  /**
   * Hands leadership over to a peer after the leader has stopped.
   *
   * @param term the last term that the former leader has reserved, as the term record has it
   * @param sessionLease the former leader's session lease, which the peer may revoke
   */
  record Handover(String member, long term, long sessionLease) implements PeerRequest {}

  /**
   * Requests the leader's permission to act as lease delegate in the sender's zone.
   *
   * @param incarnation identifies the process among all processes of the same member
   * @param sequenceNumber sequence number of the request
   * @param grantorTerm the first term of the leader process that made its current grant, 0 for none
   * @param leaderTime the time of the last grant it received, in seconds on the leader's clock
   * @param sinceAutonomousResponseS seconds since it last responded to a worker as a lease
   *     delegate, or since its process started
   */
  record Delegation(
      String member,
      String incarnation,
      long sequenceNumber,
      long grantorTerm,
      double leaderTime,
      double sinceAutonomousResponseS)
      implements PeerRequest {}

  /** Requests the identity of the process that currently runs as a controller. */
  record Identify(String member) implements PeerRequest {}

  /** Relays a heartbeat that a worker sent to this member. */
  record RelayedHeartbeat(String member, byte[] body) implements PeerRequest {}

  /** Relays a user's request. */
  record RelayedUserRequest(String method, String path, byte[] body) implements PeerRequest {}

  /** Relays an operator's request. */
  record RelayedAdminRequest(String method, String path, String query, byte[] body)
      implements PeerRequest {}
}

package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Hedges users' requests that this controller can't handle quickly: the store may be slow or
 * unreachable for this controller alone. Every request is a compare-and-swap or a read of the
 * latest records, so the first answer is correct whichever controller gives it. Runs on the event
 * loop.
 */
public final class RequestHedger {
  /** Deadline of a submission or cancellation in seconds; after that the answer is 503. */
  public static final double USER_DEADLINE_S = 3.5;

  /** Deadline of a poll in seconds; users wait 2 s for it. */
  public static final double POLL_DEADLINE_S = 1.7;

  /**
   * Seconds after which a request that the store has not answered is also sent to a peer; a usual
   * answer of the store takes 10 ms. Both controllers write with the same transaction conditions,
   * so either answer is valid.
   */
  public static final double HEDGE_DELAY_S = 0.08;

  /** HTTP status of a controller that can't handle a request at the moment. */
  static final int SERVICE_UNAVAILABLE = 503;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final HedgePolicy policy;

  /**
   * Creates the hedger.
   *
   * @param storeStalled whether the store responds slowly or not at all to this controller
   * @param storeUnavailableToAll whether the peers report that they can't reach the store either
   * @param answeredRecently whether a member has recently answered this leader
   */
  public RequestHedger(
      Loop loop,
      PeerClient peerClient,
      BooleanSupplier storeStalled,
      BooleanSupplier storeUnavailableToAll,
      Predicate<String> answeredRecently) {
    this.loop = loop;
    this.forwarder = new PeerForwarder(loop, peerClient, answeredRecently);
    this.policy = new HedgePolicy(storeStalled, storeUnavailableToAll);
  }

  /** The time in seconds of the last definitive answer of a peer to a hedged request. */
  public double lastPeerAnswerTime() {
    return policy.lastPeerAnswerTime();
  }

  /**
   * Handles a request, and also sends it to a peer if that is slow or fails with 503. The first
   * answer other than 503 is returned to the user.
   */
  public void handle(Exchange exchange, Exchange.Handler localHandler) {
    new HedgedRequest(loop, forwarder, policy, exchange).run(localHandler);
  }

  /**
   * Forwards a request to a peer first, and handles it like {@link #handle} if the peer does not
   * answer in time or can't handle it. For requests that would wait at this controller behind work
   * that only the leader can do.
   */
  public void handleAtPeerFirst(Exchange exchange, Exchange.Handler localHandler) {
    Settings.Peer peer = forwarder.nextResponsive();
    if (peer == null) {
      handle(exchange, localHandler);
    } else {
      new ForwardedRequest(loop, forwarder, exchange)
          .run(peer, () -> handle(exchange, localHandler));
    }
  }
}

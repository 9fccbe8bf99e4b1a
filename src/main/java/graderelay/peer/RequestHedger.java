package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Loop;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Asks a peer as well when this controller can't decide a user's request quickly: the store may
 * refuse, or be slow to, this controller alone. Every decision is a compare-and-swap or a fresh
 * read, so whichever answer comes first is right. Runs on the event loop.
 */
public final class RequestHedger {
  /** Seconds after which a request that could not be decided is answered with 503. */
  public static final double USER_DEADLINE_S = 3.5;

  /** Seconds for a poll; its user waits for two. */
  public static final double POLL_DEADLINE_S = 1.7;

  /**
   * Seconds after which a request that the store has not answered is put to a peer too: usual
   * answers take 10 ms. Both carry the same conditions, so the first answer is as good.
   */
  public static final double HEDGE_DELAY_S = 0.08;

  /** The status by which a controller says that it can't decide a request now. */
  static final int SERVICE_UNAVAILABLE = 503;

  private final Loop loop;
  private final PeerForwarder forwarder;
  private final HedgePolicy policy;

  /**
   * Makes the hedger.
   *
   * @param stuck whether the store lets this controller wait
   * @param awayForAll whether peers say that they are no better off
   * @param hears whether a member has answered this leader a moment ago
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

  /** The time in seconds at which a peer last decided a request for us. */
  public double lastPeerAnswerTime() {
    return policy.lastPeerAnswerTime();
  }

  /**
   * Handles a request here, and puts it to a peer as well if it is slow or refused here; the first
   * answer that is not a refusal goes to the user.
   */
  public void handle(Exchange exchange, Exchange.Handler localHandler) {
    new HedgedRequest(loop, forwarder, policy, exchange).run(localHandler);
  }

  /**
   * The same for what this controller could decide, but would have to let wait behind what only it
   * can do: a peer is asked first, and one that doesn't answer at once or can't take it either
   * leaves it to us.
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

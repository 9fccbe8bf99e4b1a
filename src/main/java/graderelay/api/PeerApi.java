package graderelay.api;

import graderelay.features.Feature;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.peer.PeerClient;
import graderelay.state.Cancellations;
import graderelay.state.FeatureRecords;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.function.Consumer;
import java.util.function.Function;

/** Answers the other controllers' requests. Runs on the event loop. */
public final class PeerApi {
  private static final ApiError FEATURE_LEVEL_MISMATCH =
      ApiError.notFound("of another feature level");
  private static final ApiError NO_SUCH_MESSAGE = ApiError.notFound("no such message");

  /** Takes a worker's heartbeat that came to another controller. */
  @FunctionalInterface
  public interface RelayedHeartbeatHandler {
    /**
     * Answers a relayed heartbeat.
     *
     * @param relayedBy the member that the worker sent it to
     * @param body the heartbeat as the worker wrote it
     * @param to takes the answer for the worker
     */
    void accept(String relayingMember, byte[] body, Consumer<Answer> to);
  }

  private final Leadership leadership;
  private final FeatureRecords features;
  private final Runnable catchUp;
  private final String incarnation;
  private final StateClient state;
  private final Cancellations cancellations;
  private final RelayedHeartbeatHandler heartbeatHandler;
  private final Function<PeerRequest.Delegation, PeerAnswer.Delegated> delegationHandler;
  private final Exchange.Handler requestHandler;

  /**
   * Makes the interface.
   *
   * @param catchUp reads what has changed in the records
   * @param incarnation tells this process from others of the same member
   * @param heartbeats takes workers' heartbeats that another controller relays
   * @param delegations decides as the leader whether a member becomes a lease delegate
   * @param requests takes users' and operators' requests that another controller passes on
   */
  public PeerApi(
      Leadership leadership,
      FeatureRecords features,
      Runnable catchUp,
      String incarnation,
      StateClient state,
      Cancellations cancellations,
      RelayedHeartbeatHandler heartbeatHandler,
      Function<PeerRequest.Delegation, PeerAnswer.Delegated> delegationHandler,
      Exchange.Handler requestHandler) {
    this.leadership = leadership;
    this.features = features;
    this.catchUp = catchUp;
    this.incarnation = incarnation;
    this.state = state;
    this.cancellations = cancellations;
    this.heartbeatHandler = heartbeatHandler;
    this.delegationHandler = delegationHandler;
    this.requestHandler = requestHandler;
  }

  /** Answers one request; one of a kind that this version does not know is refused. */
  public void handle(Exchange exchange) {
    PeerCodec.Envelope envelope = decode(exchange);
    PeerRequest request = envelope.request();
    int senderLevel = envelope.featureLevel();
    int localLevel = features.gate().current().level();
    if (senderLevel > localLevel) {
      catchUp.run(); // We have missed a change of the level.
    }
    if (requiresSameFeatureLevel(request) && senderLevel != localLevel) {
      FEATURE_LEVEL_MISMATCH.sendTo(exchange);
    } else if (!answerMemberRequest(exchange, request, senderLevel < localLevel)
        && !answerRelayedRequest(exchange, request)) {
      NO_SUCH_MESSAGE.sendTo(exchange);
    }
  }

  private static PeerCodec.Envelope decode(Exchange exchange) {
    boolean isPeerMessage =
        exchange.method().equals("POST") && exchange.path().equals(PeerClient.PATH);
    return isPeerMessage
        ? PeerCodec.decodeEnvelope(exchange.body())
        : new PeerCodec.Envelope(null, Feature.BASE_LEVEL);
  }

  private static boolean requiresSameFeatureLevel(PeerRequest request) {
    return request instanceof PeerRequest.Handover
        || request instanceof PeerRequest.Delegation
        || request instanceof PeerRequest.RelayedReport;
  }

  /**
   * Answers what controllers ask for themselves; false if the request is none of that.
   *
   * <p>Whoever has missed a change of the feature level must neither act for the controllers nor be
   * trusted with leases. A pledge to somebody who knows more than we do is safe: our own election
   * would fail.
   *
   * @param behind true if the sender has missed a change of the feature level
   */
  private boolean answerMemberRequest(
      Exchange exchange, PeerRequest request, boolean senderIsBehind) {
    if (request instanceof PeerRequest.Pledge pledge) {
      boolean granted =
          !senderIsBehind && leadership.pledgeToLeader(pledge.term(), pledge.seconds());
      answer(exchange, pledgeAnswer(granted));
    } else if (request instanceof PeerRequest.KeepPledge pledge) {
      answer(
          exchange, pledgeAnswer(!senderIsBehind && leadership.pledgeLeaderless(pledge.seconds())));
    } else if (request instanceof PeerRequest.Identify) {
      answer(exchange, new PeerAnswer.Identified(incarnation));
    } else if (request instanceof PeerRequest.Share share) {
      leadership.borrowWriteCapacity(share.term(), share.changesPerS());
      answer(exchange, new PeerAnswer.Wanted(state.budget().drainChangeDemand()));
    } else if (request instanceof PeerRequest.Handover handover) {
      leadership.acceptHandover(handover.member(), handover.term(), handover.sessionLease());
      answer(exchange, new PeerAnswer.Received());
    } else if (request instanceof PeerRequest.Delegation delegation) {
      answer(exchange, delegationHandler.apply(delegation));
    } else {
      return false;
    }
    return true;
  }

  /** Answers what a controller passes on for others; false if the request is none of that. */
  private boolean answerRelayedRequest(Exchange exchange, PeerRequest request) {
    if (request instanceof PeerRequest.RelayedReport heartbeat) {
      heartbeatHandler.accept(heartbeat.member(), heartbeat.body(), relayedAnswerSender(exchange));
    } else if (request instanceof PeerRequest.UserRequest user) {
      requestHandler.handle(
          new Exchange(
              user.method(), user.path(), "", user.body(), true, relayedAnswerSender(exchange)));
    } else if (request instanceof PeerRequest.AdminRequest admin) {
      requestHandler.handle(
          new Exchange(
              admin.method(),
              admin.path(),
              admin.query(),
              admin.body(),
              true,
              relayedAnswerSender(exchange)));
    } else {
      return false;
    }
    return true;
  }

  /** The asker renews leases: what we know of cancellations goes with it, granted or not. */
  private PeerAnswer.Pledged pledgeAnswer(boolean granted) {
    return new PeerAnswer.Pledged(
        granted, state.health().isReachable(), cancellations.ownKnowledge());
  }

  /** Sends an answer back to the controller that has passed the request on. */
  private static Consumer<Answer> relayedAnswerSender(Exchange exchange) {
    return answer -> answer(exchange, new PeerAnswer.Relayed(answer));
  }

  private static void answer(Exchange exchange, PeerAnswer answer) {
    exchange
        .to()
        .accept(new Answer(200, PeerCodec.encodeAnswer(answer), "application/cbor", 0, false));
  }
}

package graderelay.api;

import graderelay.features.Feature;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.peer.PeerClient;
import graderelay.state.Cancellations;
import graderelay.state.FeatureRecords;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.PeerResponse;
import java.util.function.Consumer;
import java.util.function.Function;

/** Handles the requests of the other controllers. Runs on the event loop. */
public final class PeerApi {
  private static final ApiError FEATURE_LEVEL_MISMATCH =
      ApiError.notFound("the sender has a different feature level");
  private static final ApiError NO_SUCH_MESSAGE = ApiError.notFound("no such message");

  /** Handles worker heartbeats that other controllers relay. */
  @FunctionalInterface
  public interface RelayedHeartbeatHandler {
    /**
     * Answers a relayed heartbeat.
     *
     * @param relayingMember the member that received it from the worker
     * @param body the heartbeat as the worker sent it
     * @param to receives the answer for the worker
     */
    void accept(String relayingMember, byte[] body, Consumer<Response> to);
  }

  private final Leadership leadership;
  private final FeatureRecords features;
  private final Runnable catchUp;
  private final String incarnation;
  private final StateClient state;
  private final Cancellations cancellations;
  private final RelayedHeartbeatHandler heartbeatHandler;
  private final Function<PeerRequest.Delegation, PeerResponse.DelegationResponse> delegationHandler;
  private final Exchange.Handler requestHandler;

  /**
   * Creates the handler.
   *
   * @param catchUp brings the cache up to date with the store
   * @param incarnation distinguishes this process from earlier ones of the same member
   * @param heartbeatHandler handles worker heartbeats that another controller relays
   * @param delegationHandler decides on the leader whether a member becomes a lease delegate
   * @param requestHandler handles users' and operators' requests that another controller relays
   */
  public PeerApi(
      Leadership leadership,
      FeatureRecords features,
      Runnable catchUp,
      String incarnation,
      StateClient state,
      Cancellations cancellations,
      RelayedHeartbeatHandler heartbeatHandler,
      Function<PeerRequest.Delegation, PeerResponse.DelegationResponse> delegationHandler,
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

  /** Answers a request; answers 404 if this version does not support it. */
  public void handle(Exchange exchange) {
    PeerCodec.Envelope envelope = decode(exchange);
    PeerRequest request = envelope.request();
    int senderLevel = envelope.featureLevel();
    int localLevel = features.gate().current().level();
    if (senderLevel > localLevel) {
      catchUp.run(); // The cache has missed a change of the feature level.
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
        || request instanceof PeerRequest.RelayedHeartbeat;
  }

  /**
   * Answers a request that a controller sends on its own behalf; returns false for any other
   * request.
   *
   * <p>A controller that has missed a change of the feature level must neither lead nor renew
   * leases, so no pledge is granted to it. A pledge to a sender with a higher level is safe, since
   * an election of this controller would fail.
   *
   * @param senderIsBehind true if the sender has missed a change of the feature level
   */
  private boolean answerMemberRequest(
      Exchange exchange, PeerRequest request, boolean senderIsBehind) {
    if (request instanceof PeerRequest.Pledge pledge) {
      boolean granted =
          !senderIsBehind && leadership.pledgeToLeader(pledge.term(), pledge.seconds());
      answer(exchange, pledgeAnswer(granted));
    } else if (request instanceof PeerRequest.LeaderlessPledge pledge) {
      answer(
          exchange, pledgeAnswer(!senderIsBehind && leadership.pledgeLeaderless(pledge.seconds())));
    } else if (request instanceof PeerRequest.Identify) {
      answer(exchange, new PeerResponse.IdentifyResponse(incarnation));
    } else if (request instanceof PeerRequest.LendWriteCapacity share) {
      leadership.borrowWriteCapacity(share.term(), share.changesPerS());
      answer(
          exchange, new PeerResponse.LendWriteCapacityResponse(state.budget().drainChangeDemand()));
    } else if (request instanceof PeerRequest.Handover handover) {
      leadership.acceptHandover(handover.member(), handover.term(), handover.sessionLease());
      answer(exchange, new PeerResponse.HandoverResponse());
    } else if (request instanceof PeerRequest.Delegation delegation) {
      answer(exchange, delegationHandler.apply(delegation));
    } else {
      return false;
    }
    return true;
  }

  /**
   * Answers a request that a controller relays for a worker, a user or an operator; returns false
   * for any other request.
   */
  private boolean answerRelayedRequest(Exchange exchange, PeerRequest request) {
    if (request instanceof PeerRequest.RelayedHeartbeat heartbeat) {
      heartbeatHandler.accept(heartbeat.member(), heartbeat.body(), relayedAnswerSender(exchange));
    } else if (request instanceof PeerRequest.RelayedUserRequest user) {
      requestHandler.handle(
          new Exchange(
              user.method(), user.path(), "", user.body(), true, relayedAnswerSender(exchange)));
    } else if (request instanceof PeerRequest.RelayedAdminRequest admin) {
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

  /**
   * The answer to a pledge request. The sender renews worker leases, so the answer carries the
   * cancellations that this controller has learned of, whether or not the pledge is granted.
   */
  private PeerResponse.PledgeResponse pledgeAnswer(boolean granted) {
    return new PeerResponse.PledgeResponse(
        granted, state.health().isReachable(), cancellations.ownKnowledge());
  }

  /** Returns a consumer that sends an answer to the controller that relayed the request. */
  private static Consumer<Response> relayedAnswerSender(Exchange exchange) {
    return answer -> answer(exchange, new PeerResponse.RelayedResponse(answer));
  }

  private static void answer(Exchange exchange, PeerResponse answer) {
    exchange
        .responder()
        .accept(new Response(200, PeerCodec.encodeResponse(answer), "application/cbor", 0, false));
  }
}

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

/** Answers the other controllers' requests. Runs on the event loop. */
public final class PeerApi {
  private static final ApiError OTHER_FEATURE_LEVEL = ApiError.notFound("of another feature level");
  private static final ApiError NO_SUCH_MESSAGE = ApiError.notFound("no such message");

  /** Takes a worker's heartbeat that came to another controller. */
  @FunctionalInterface
  public interface RelayedHeartbeats {
    /**
     * Answers a relayed heartbeat.
     *
     * @param relayedBy the member that the worker sent it to
     * @param body the heartbeat as the worker wrote it
     * @param to takes the answer for the worker
     */
    void accept(String relayedBy, byte[] body, Consumer<Response> to);
  }

  private final Leadership leadership;
  private final FeatureRecords features;
  private final Runnable catchUp;
  private final String incarnation;
  private final StateClient state;
  private final Cancellations cancellations;
  private final RelayedHeartbeats heartbeats;
  private final Function<PeerRequest.Delegation, PeerResponse.DelegationResponse> delegations;
  private final Exchange.Handler requests;

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
      RelayedHeartbeats heartbeats,
      Function<PeerRequest.Delegation, PeerResponse.DelegationResponse> delegations,
      Exchange.Handler requests) {
    this.leadership = leadership;
    this.features = features;
    this.catchUp = catchUp;
    this.incarnation = incarnation;
    this.state = state;
    this.cancellations = cancellations;
    this.heartbeats = heartbeats;
    this.delegations = delegations;
    this.requests = requests;
  }

  /** Answers one request; one of a kind that this version does not know is refused. */
  public void handle(Exchange exchange) {
    PeerCodec.Envelope envelope = decode(exchange);
    PeerRequest request = envelope.request();
    int theirLevel = envelope.featureLevel();
    int ourLevel = features.gate().current().level();
    if (theirLevel > ourLevel) {
      catchUp.run(); // We have missed a change of the level.
    }
    if (actsForTheLeader(request) && theirLevel != ourLevel) {
      OTHER_FEATURE_LEVEL.sendTo(exchange);
    } else if (!answerBetweenMembers(exchange, request, theirLevel < ourLevel)
        && !answerRelayed(exchange, request)) {
      NO_SUCH_MESSAGE.sendTo(exchange);
    }
  }

  private static PeerCodec.Envelope decode(Exchange exchange) {
    boolean message = exchange.method().equals("POST") && exchange.path().equals(PeerClient.PATH);
    return message
        ? PeerCodec.decodeEnvelope(exchange.body())
        : new PeerCodec.Envelope(null, Feature.BASE_LEVEL);
  }

  private static boolean actsForTheLeader(PeerRequest request) {
    return request instanceof PeerRequest.Handover
        || request instanceof PeerRequest.Delegation
        || request instanceof PeerRequest.RelayedHeartbeat;
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
  private boolean answerBetweenMembers(Exchange exchange, PeerRequest request, boolean behind) {
    if (request instanceof PeerRequest.Pledge pledge) {
      boolean granted = !behind && leadership.pledgeToLeader(pledge.term(), pledge.seconds());
      answer(exchange, pledged(granted));
    } else if (request instanceof PeerRequest.LeaderlessPledge pledge) {
      answer(exchange, pledged(!behind && leadership.pledgeLeaderless(pledge.seconds())));
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
      answer(exchange, delegations.apply(delegation));
    } else {
      return false;
    }
    return true;
  }

  /** Answers what a controller passes on for others; false if the request is none of that. */
  private boolean answerRelayed(Exchange exchange, PeerRequest request) {
    if (request instanceof PeerRequest.RelayedHeartbeat heartbeat) {
      heartbeats.accept(heartbeat.member(), heartbeat.body(), relayedTo(exchange));
    } else if (request instanceof PeerRequest.RelayedUserRequest user) {
      requests.handle(
          new Exchange(user.method(), user.path(), "", user.body(), true, relayedTo(exchange)));
    } else if (request instanceof PeerRequest.RelayedAdminRequest admin) {
      requests.handle(
          new Exchange(
              admin.method(),
              admin.path(),
              admin.query(),
              admin.body(),
              true,
              relayedTo(exchange)));
    } else {
      return false;
    }
    return true;
  }

  /** The asker renews leases: what we know of cancellations goes with it, granted or not. */
  private PeerResponse.PledgeResponse pledged(boolean granted) {
    return new PeerResponse.PledgeResponse(
        granted, state.health().isReachable(), cancellations.ownKnowledge());
  }

  /** Sends an answer back to the controller that has passed the request on. */
  private static Consumer<Response> relayedTo(Exchange exchange) {
    return answer -> answer(exchange, new PeerResponse.RelayedResponse(answer));
  }

  private static void answer(Exchange exchange, PeerResponse answer) {
    exchange
        .responder()
        .accept(new Response(200, PeerCodec.encodeResponse(answer), "application/cbor", 0, false));
  }
}

package graderelay.worker;

import graderelay.core.Heartbeat;
import graderelay.core.HeartbeatResponse;
import graderelay.core.SchedulerLimits;
import graderelay.core.WorkerCommand;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Loop;
import graderelay.peer.PeerClient;
import graderelay.state.Cache;
import graderelay.state.Cancellations;
import graderelay.state.Leadership;
import graderelay.wire.Json;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import graderelay.wire.StateCodec;
import graderelay.wire.WorkerCodec;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Handles worker heartbeats: the leader answers them while its session lease is valid; other
 * controllers redirect workers to the leader, or relay the heartbeats of workers that can't reach
 * it. Runs on the event loop.
 */
public final class WorkerApi {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  /** Redirects the worker to another controller. */
  private static final int MISDIRECTED_REQUEST = 421;

  /** Receives heartbeats on behalf of the scheduler. */
  @FunctionalInterface
  public interface HeartbeatListener {
    /**
     * Processes a heartbeat.
     *
     * @param relayedBy the member that relayed the heartbeat, or "" if the worker sent it directly
     * @return the response, without commands while the leader is still loading the stored records;
     *     empty if the worker's lease must not be renewed
     */
    Optional<HeartbeatResponse> onHeartbeat(Heartbeat heartbeat, String relayedBy);
  }

  private final Loop loop;
  private final Leadership leadership;
  private final Cache cache;
  private final PeerClient peerClient;
  private final LeaseDelegate leaseDelegate;
  private final Cancellations cancellations;
  private final String member;
  private final HeartbeatListener scheduler;
  private final RedirectedWorkers redirectedWorkers = new RedirectedWorkers();

  /**
   * Creates the handler of worker heartbeats.
   *
   * @param member this controller's name
   * @param scheduler receives the heartbeats while this controller is the leader
   */
  public WorkerApi(
      Loop loop,
      Leadership leadership,
      Cache cache,
      PeerClient peerClient,
      LeaseDelegate leaseDelegate,
      Cancellations cancellations,
      String member,
      HeartbeatListener scheduler) {
    this.loop = loop;
    this.leadership = leadership;
    this.cache = cache;
    this.peerClient = peerClient;
    this.leaseDelegate = leaseDelegate;
    this.cancellations = cancellations;
    this.member = member;
    this.scheduler = scheduler;
  }

  /**
   * Answers a worker's heartbeat: 200 renews its lease and carries commands, 421 redirects it to
   * the leader, if known, and 400 reports a malformed heartbeat.
   */
  public void handleHeartbeat(Exchange exchange) {
    Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(Json.read(exchange.body()));
    if (heartbeat == null) {
      rejectMalformed(exchange.responder());
      return;
    }
    OptionalLong leaderlessTerm = leadership.leaderlessTerm(heartbeat.term());
    if (cache.features().gate().isClosed()) {
      redirect(exchange.responder(), leaderName(cache.leader()));
    } else if (leadership.isLeader()) {
      answerAsLeader(heartbeat, "", exchange.responder());
    } else if (leaderlessTerm.isPresent() && cancellations.mayRenewLeases()) {
      respondWithLeaseRenewal(
          exchange.responder(), leaderlessTerm.getAsLong(), cancellations.killCommands(heartbeat));
    } else if (leaseDelegate.tryAuthorizeResponse(heartbeat)) {
      respondWithLeaseRenewal(
          exchange.responder(),
          leaseDelegate.termFor(heartbeat),
          cancellations.killCommands(heartbeat));
    } else {
      leadership.collectLeaderlessPledges();
      relayOrRedirect(exchange, heartbeat);
    }
  }

  /** Answers a heartbeat that the controller {@code relayedBy} has relayed to this leader. */
  public void handleRelayedHeartbeat(String relayedBy, byte[] body, Consumer<Response> responder) {
    Heartbeat heartbeat = WorkerCodec.decodeHeartbeat(Json.read(body));
    if (heartbeat == null) {
      rejectMalformed(responder);
    } else {
      answerAsLeader(heartbeat, relayedBy, responder);
    }
  }

  private void answerAsLeader(Heartbeat heartbeat, String relayedBy, Consumer<Response> responder) {
    Optional<HeartbeatResponse> response =
        leadership.mayActAsLeader() && cancellations.mayRenewLeases()
            ? scheduler.onHeartbeat(heartbeat, relayedBy)
            : Optional.empty();
    if (response.isPresent()) {
      respondWithLeaseRenewal(
          responder,
          response.get().term(),
          cancellations.prependKillCommands(heartbeat, response.get().commands()));
    } else {
      redirect(responder, null);
    }
  }

  private void relayOrRedirect(Exchange exchange, Heartbeat heartbeat) {
    StateCodec.LeaderRecord leader = cache.leader();
    String address = leader == null ? null : peerClient.addressOf(leader.member());
    if (redirectedWorkers.shouldRelay(heartbeat, leader, address != null, loop.now())) {
      relay(exchange, address, leader.member());
    } else {
      redirect(exchange.responder(), leaderName(leader));
    }
  }

  private void relay(Exchange exchange, String address, String leaderName) {
    peerClient.send(
        address,
        new PeerRequest.RelayedHeartbeat(member, exchange.body()),
        PeerCodec::decodeRelayedResponse,
        peerClient.timeoutS(),
        relayed -> {
          if (relayed != null && relayed.response().status() == OK) {
            exchange.responder().accept(relayed.response());
          } else {
            redirect(exchange.responder(), leaderName);
          }
        });
  }

  private static String leaderName(StateCodec.LeaderRecord leader) {
    return leader == null ? null : leader.member();
  }

  /** Renews the worker's lease; callers must check {@link Cancellations#mayRenewLeases} first. */
  private static void respondWithLeaseRenewal(
      Consumer<Response> responder, long term, List<WorkerCommand> commands) {
    byte[] body =
        Json.write(
            WorkerCodec.encodeHeartbeatResponse(
                term, commands, SchedulerLimits.MAX_COMMANDS_PER_MESSAGE));
    responder.accept(Response.json(OK, body));
  }

  /** Redirects the worker to the named leader, or to any other controller if the name is null. */
  private static void redirect(Consumer<Response> responder, String leaderName) {
    responder.accept(
        Response.json(MISDIRECTED_REQUEST, Json.write(WorkerCodec.encodeRedirect(leaderName))));
  }

  private static void rejectMalformed(Consumer<Response> responder) {
    responder.accept(
        Response.json(BAD_REQUEST, Json.errorBody("the body is not a valid heartbeat")));
  }
}

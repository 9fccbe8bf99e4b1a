package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import graderelay.sim.WorldAssertions;
import graderelay.sim.WorldShape;
import graderelay.wire.Json;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Controllers of different versions: a peer that does not support a message, or whose answer is
 * invalid or incomplete, grants no pledge. In an outage of the key-value store the leader then
 * stops renewing worker leases, as if the peer had not answered.
 */
class UngrantedPledgesTest {
  private static final double OUTAGE_S = 30;

  /** How the followers answer requests of other controllers. */
  private enum AnswerVariant {
    UNCHANGED,
    UNKNOWN_MESSAGE,
    EMPTY_ANSWER,
    WITHOUT_CANCELLATIONS,
    NOT_CBOR
  }

  @ParameterizedTest
  @EnumSource(AnswerVariant.class)
  void leasesOutliveStoreOutageOnlyIfPeersGrantPledges(AnswerVariant variant) {
    // There are no lease delegates in a single zone, so leases are renewed only with pledges.
    SimWorld world = new SimWorld(441, WorldShape.of(3).fleet(8, List.of("a")));
    world.loop.run(3);
    SimJob service = world.users.job("j-000001", 1, 1, 0, false);
    world.users.submit(0, service);
    world.loop.run(15);
    final String machine = WorldAssertions.runner(world, "j-000001/0");
    int leader = world.leader();
    for (int i = 0; i < world.size; i++) {
      if (i != leader) {
        Exchange.Handler peerHandler = world.controllers[i]::handlePeer;
        world.net.listen(
            "c" + i + ":81", "c" + i, exchange -> answer(variant, peerHandler, exchange));
      }
    }
    world.store.outage(true);
    world.loop.run(OUTAGE_S);
    boolean runs = world.workers.get(machine).running().contains("j-000001/0");
    assertThat(runs).isEqualTo(variant == AnswerVariant.UNCHANGED);
    world.store.outage(false);
    world.loop.run(30);
    assertThat(world.users.stage(0, service.id)).isEqualTo("running");
    fine(world);
  }

  private static void answer(
      AnswerVariant variant, Exchange.Handler peerHandler, Exchange exchange) {
    switch (variant) {
      case UNCHANGED -> peerHandler.handle(exchange);
      case UNKNOWN_MESSAGE ->
          exchange.responder().accept(Response.json(404, Json.errorBody("no such message")));
      case EMPTY_ANSWER -> exchange.responder().accept(cbor(Json.object()));
      case NOT_CBOR -> exchange.responder().accept(Response.json(200, new byte[] {(byte) 0xff, 0}));
      case WITHOUT_CANCELLATIONS -> peerHandler.handle(withoutField(exchange, "cancellations"));
      default -> throw new AssertionError(variant);
    }
  }

  /** The same exchange, with a field removed from the answer. */
  private static Exchange withoutField(Exchange exchange, String field) {
    return new Exchange(
        exchange.method(),
        exchange.path(),
        exchange.query(),
        exchange.body(),
        reply -> {
          JsonNode body = Json.readCbor(reply.body());
          if (body instanceof ObjectNode answer) {
            answer.remove(field);
          }
          exchange.responder().accept(body == null ? reply : cbor(body));
        });
  }

  private static Response cbor(JsonNode body) {
    return new Response(200, Json.writeCbor(body), "application/cbor", 0, false);
  }

  @Test
  void messageOfUnknownKindIsRefusedAndDelaysNoElection() {
    SimWorld world = world(442, 3);
    int[] status = {0};
    byte[] pledge = PeerCodec.encodeRequest(new PeerRequest.Pledge("m-1", 99, 60));
    ObjectNode unknownKind = ((ObjectNode) Json.readCbor(pledge)).put("kind", "pledge");
    for (int i = 0; i < world.size; i++) {
      world.controllers[i].handlePeer(
          new Exchange(
              "POST",
              "/mesh",
              "",
              Json.writeCbor(unknownKind),
              reply -> status[0] = reply.status()));
      assertThat(status[0]).isEqualTo(404);
    }
    int leader = world.leader();
    world.crash(leader);
    world.loop.run(10); // No pledge was given that would delay the election.
    assertThat(world.leader()).isNotNegative().isNotEqualTo(leader);
  }
}

package graderelay.state;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
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
 * Controllers of different versions: a message that a peer does not know, or an answer that lacks a
 * field, grants nothing. In an outage of the store the leader then lets the workers' leases end, as
 * if the peer had not answered.
 */
class UngrantedPledgesTest {
  private static final double OUTAGE_S = 30;

  /** How the followers answer what the leader, or one of them, asks. */
  private enum PeerAnswer {
    AS_USUAL,
    UNKNOWN_MESSAGE,
    EMPTY_ANSWER,
    WITHOUT_CANCELLATIONS,
    NOT_CBOR
  }

  @ParameterizedTest
  @EnumSource(PeerAnswer.class)
  void leasesOutliveAnOutageOnlyIfPeersGrantIt(PeerAnswer how) {
    // In one zone there is no lease delegate, so only what the peers grant keeps the leases.
    SimWorld w = new SimWorld(441, WorldShape.of(3).fleet(8, List.of("a")));
    w.loop.run(3);
    SimJob service = w.users.job("j-000001", 1, 1, 0, false);
    w.users.submit(0, service);
    w.loop.run(15);
    final String machine = WorldAssertions.runner(w, "j-000001/0");
    int leader = w.leader();
    for (int i = 0; i < w.size; i++) {
      if (i != leader) {
        Exchange.Handler usual = w.controllers[i]::handlePeer;
        w.net.listen("c" + i + ":81", "c" + i, e -> answer(how, usual, e));
      }
    }
    w.store.outage(true);
    w.loop.run(OUTAGE_S);
    boolean runs = w.workers.get(machine).running().contains("j-000001/0");
    assertThat(runs).isEqualTo(how == PeerAnswer.AS_USUAL);
    w.store.outage(false);
    w.loop.run(30);
    assertThat(w.users.stage(0, service.id)).isEqualTo("running");
    fine(w);
  }

  private static void answer(PeerAnswer how, Exchange.Handler usual, Exchange e) {
    switch (how) {
      case AS_USUAL -> usual.handle(e);
      case UNKNOWN_MESSAGE -> e.to().accept(Answer.json(404, Json.error("no such message")));
      case EMPTY_ANSWER -> e.to().accept(cbor(Json.object()));
      case NOT_CBOR -> e.to().accept(Answer.json(200, new byte[] {(byte) 0xff, 0}));
      case WITHOUT_CANCELLATIONS -> usual.handle(without(e, "cancellations"));
      default -> throw new AssertionError(how);
    }
  }

  /** The same question, whose answer comes without a field. */
  private static Exchange without(Exchange e, String field) {
    return new Exchange(
        e.method(),
        e.path(),
        e.query(),
        e.body(),
        a -> {
          JsonNode n = Json.readCbor(a.body());
          if (n instanceof ObjectNode answer) {
            answer.remove(field);
          }
          e.to().accept(n == null ? a : cbor(n));
        });
  }

  private static Answer cbor(JsonNode n) {
    return new Answer(200, Json.writeCbor(n), "application/cbor", 0, false);
  }

  @Test
  void messageOfUnknownKindIsRefusedAndChangesNothing() {
    SimWorld w = world(442, 3);
    int[] status = {0};
    byte[] pledge = PeerCodec.encodeRequest(new PeerRequest.Pledge("m-1", 99, 60));
    ObjectNode later = ((ObjectNode) Json.readCbor(pledge)).put("kind", "pledge");
    for (int i = 0; i < w.size; i++) {
      w.controllers[i].handlePeer(
          new Exchange("POST", "/mesh", "", Json.writeCbor(later), a -> status[0] = a.status()));
      assertThat(status[0]).isEqualTo(404);
    }
    int leader = w.leader();
    w.crash(leader);
    w.loop.run(10); // Nobody holds back for a pledge that nobody made.
    assertThat(w.leader()).isNotNegative().isNotEqualTo(leader);
  }
}

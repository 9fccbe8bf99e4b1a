package graderelay.api;

import graderelay.features.Feature;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.peer.PeerClient;
import graderelay.state.Cancellations;
import graderelay.state.FeatureRecords;
import graderelay.state.Leadership;
import graderelay.state.StateClient;
import graderelay.wire.Json;
import graderelay.wire.PeerAnswer;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.function.Consumer;
import java.util.function.Function;

/** Answers the other controllers. */
public final class PeerApi {
  private static final int NO_SUCH_MESSAGE = 404;

  /** Takes a worker's report that came to another controller. */
  public interface Relayed {
    void accept(String via, byte[] body, Consumer<Answer> to);
  }

  private final Leadership leadership;
  private final FeatureRecords features;
  private final Runnable catchUp;
  private final String incarnation;
  private final StateClient state;
  private final Cancellations cancellations;
  private final Relayed reports;
  private final Function<PeerRequest.Delegation, PeerAnswer.Delegated> delegations;
  private final Exchange.Handler requests;

  /**
   * Makes the interface.
   *
   * @param catchUp reads what has changed in the records
   * @param incarnation tells this process from others of the same member
   * @param requests takes users' and operators' requests that another controller passes on
   */
  public PeerApi(
      Leadership leadership,
      FeatureRecords features,
      Runnable catchUp,
      String incarnation,
      StateClient state,
      Cancellations cancellations,
      Relayed reports,
      Function<PeerRequest.Delegation, PeerAnswer.Delegated> delegations,
      Exchange.Handler requests) {
    this.leadership = leadership;
    this.features = features;
    this.catchUp = catchUp;
    this.incarnation = incarnation;
    this.state = state;
    this.cancellations = cancellations;
    this.reports = reports;
    this.delegations = delegations;
    this.requests = requests;
  }

  /** Answers one request; one of a kind that this version does not know is refused. */
  public void handle(Exchange e) {
    boolean message = e.method().equals("POST") && e.path().equals(PeerClient.PATH);
    PeerCodec.Envelope envelope =
        message
            ? PeerCodec.decodeEnvelope(e.body())
            : new PeerCodec.Envelope(null, Feature.BASE_LEVEL);
    PeerRequest request = envelope.request();
    int theirs = envelope.featureLevel();
    int ours = features.gate().current().level();
    if (theirs > ours) {
      catchUp.run(); // We have missed a change of the level.
    }
    // Whoever has missed one must neither act for the controllers nor be trusted with leases. A
    // pledge to somebody who knows more than we do is safe: our own election would fail.
    boolean behind = theirs < ours;
    if (request instanceof PeerRequest.Pledge p) {
      answer(e, pledged(!behind && leadership.pledge(p.term(), p.seconds())));
    } else if (request instanceof PeerRequest.KeepPledge p) {
      answer(e, pledged(!behind && leadership.pledgeLeaderless(p.seconds())));
    } else if (request instanceof PeerRequest.Identify) {
      answer(e, new PeerAnswer.Identified(incarnation));
    } else if (actsForTheLeader(request) && theirs != ours) {
      e.to().accept(Answer.json(NO_SUCH_MESSAGE, Json.error("of another feature level")));
    } else if (request instanceof PeerRequest.Share s) {
      leadership.takeShare(s.term(), s.changesPerS());
      answer(e, new PeerAnswer.Wanted(state.budget().takeWantedChanges()));
    } else if (request instanceof PeerRequest.Handover h) {
      leadership.takeHandover(h.member(), h.term(), h.sessionLease());
      answer(e, new PeerAnswer.Received());
    } else if (request instanceof PeerRequest.Delegation d) {
      answer(e, delegations.apply(d));
    } else if (request instanceof PeerRequest.RelayedReport r) {
      reports.accept(r.member(), r.body(), a -> answer(e, new PeerAnswer.Relayed(a)));
    } else if (request instanceof PeerRequest.UserRequest u) {
      relay(e, u.method(), u.path(), "", u.body());
    } else if (request instanceof PeerRequest.AdminRequest a) {
      relay(e, a.method(), a.path(), a.query(), a.body());
    } else {
      e.to().accept(Answer.json(NO_SUCH_MESSAGE, Json.error("no such message")));
    }
  }

  private static boolean actsForTheLeader(PeerRequest request) {
    return request instanceof PeerRequest.Handover
        || request instanceof PeerRequest.Delegation
        || request instanceof PeerRequest.RelayedReport;
  }

  private void relay(Exchange e, String method, String path, String query, byte[] body) {
    requests.handle(
        new Exchange(method, path, query, body, true, a -> answer(e, new PeerAnswer.Relayed(a))));
  }

  /** The asker renews leases: what we know of cancellations goes with it, granted or not. */
  private PeerAnswer.Pledged pledged(boolean granted) {
    return new PeerAnswer.Pledged(
        granted, state.health().isReachable(), cancellations.ownKnowledge());
  }

  private static void answer(Exchange e, PeerAnswer answer) {
    e.to().accept(new Answer(200, PeerCodec.encodeAnswer(answer), "application/cbor", 0, false));
  }
}

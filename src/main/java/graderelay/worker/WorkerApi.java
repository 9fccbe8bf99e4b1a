package graderelay.worker;

import graderelay.core.Heartbeat;
import graderelay.core.SchedulerLimits;
import graderelay.core.WorkerCommand;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * Takes workers' reports: the leader answers them while it holds the fleet, the others point to it.
 * A worker that comes back after that can't reach the leader; its reports are passed on, so that a
 * cut between the two doesn't cost it its lease.
 */
public final class WorkerApi {
  /** Seconds within which a worker that comes back is taken to be unable to reach the leader. */
  private static final double RELAY_MEMORY_S = 12;

  /**
   * Workers remembered as pointed to the leader, some 150 bytes each: all of a fleet of four
   * thousand, with as many again that were replaced a moment ago.
   */
  private static final int MOST_POINTED = 8192;

  /** Seconds after which a worker whose reports are passed on is pointed to the leader again. */
  private static final double RELAY_FOR_S = 25;

  private record Pointed(double at, double relayedSince, long session, long seq) {}

  private final Loop loop;
  private final Leadership leadership;
  private final Cache cache;
  private final PeerClient peerClient;
  private final LeaseDelegate leaseDelegate;
  private final Cancellations cancellations;
  private final String member;
  private final BiFunction<Heartbeat, String, List<WorkerCommand>> fleet;
  private final Map<String, Pointed> pointed = new LinkedHashMap<>();

  public WorkerApi(
      Loop loop,
      Leadership leadership,
      Cache cache,
      PeerClient peerClient,
      LeaseDelegate leaseDelegate,
      Cancellations cancellations,
      String member,
      BiFunction<Heartbeat, String, List<WorkerCommand>> fleet) {
    this.loop = loop;
    this.leadership = leadership;
    this.cache = cache;
    this.peerClient = peerClient;
    this.leaseDelegate = leaseDelegate;
    this.cancellations = cancellations;
    this.member = member;
    this.fleet = fleet;
  }

  public void checkin(Exchange e) {
    Heartbeat r = WorkerCodec.decodeHeartbeat(Json.read(e.body()));
    if (r == null) {
      e.to().accept(Answer.json(400, Json.error("not a report")));
      return;
    }
    if (cache.features().gate().isShut()) {
      elsewhere(e.to(), cache.leader() == null ? null : cache.leader().member());
      return;
    }
    if (leadership.isLeader()) {
      answer(r, "", e.to());
      return;
    }
    if (leadership.holdsLeaderlessPledges() && r.term() > 0 && cancellations.mayRenew()) {
      // Under the worker's own term: its lease goes on, and what is cancelled ends.
      renew(e.to(), r.term(), cancellations.kills(r));
      return;
    }
    if (leaseDelegate.answers(r)) {
      renew(e.to(), leaseDelegate.term(), cancellations.kills(r));
      return;
    }
    leadership.seekLeaderlessPledges();
    StateCodec.LeaderRecord o = cache.leader();
    String address = o == null ? null : peerClient.addressOf(o.member());
    Pointed p = pointed.remove(r.machine());
    double now = loop.now();
    if (p != null && !r.newerThan(p.session(), p.seq())) {
      // A copy of the past is no sign that its worker can't reach the leader.
      remember(r, p);
      elsewhere(e.to(), o == null ? null : o.member());
      return;
    }
    boolean back = p != null && now - p.at() < RELAY_MEMORY_S;
    // A worker with the leader's own term was answered by it before: it is here since the leader no
    // longer answers, and to point it back would cost it half its lease. That it was pointed there
    // long ago, before it was answered, is no reason to do so again.
    boolean longAgo = p == null || (!back && p.relayedSince() == Double.POSITIVE_INFINITY);
    back |= longAgo && o != null && r.term() >= o.term();
    boolean longEnough = back && p != null && now - p.relayedSince() > RELAY_FOR_S;
    if (address == null || !back || longEnough) {
      if (address != null) {
        remember(r, new Pointed(now, Double.POSITIVE_INFINITY, r.session(), r.seq()));
      }
      elsewhere(e.to(), o == null ? null : o.member());
      return;
    }
    double since = p == null ? now : Math.min(now, p.relayedSince());
    remember(r, new Pointed(now, since, r.session(), r.seq()));
    peerClient.send(
        address,
        new PeerRequest.RelayedReport(member, e.body()),
        PeerCodec::decodeRelayed,
        peerClient.timeoutS(),
        relayed -> {
          if (relayed != null && relayed.answer().status() == 200) {
            e.to().accept(relayed.answer());
          } else {
            elsewhere(e.to(), o.member());
          }
        });
  }

  private void remember(Heartbeat r, Pointed p) {
    pointed.put(r.machine(), p);
    if (pointed.size() > MOST_POINTED) {
      pointed.remove(pointed.keySet().iterator().next());
    }
  }

  /** A report that another controller passes on. */
  public void relayed(String via, byte[] body, Consumer<Answer> to) {
    Heartbeat r = WorkerCodec.decodeHeartbeat(Json.read(body));
    if (r == null) {
      to.accept(Answer.json(400, Json.error("not a report")));
    } else {
      answer(r, via, to);
    }
  }

  private void answer(Heartbeat r, String via, Consumer<Answer> to) {
    boolean may = leadership.mayActAsLeader() && cancellations.mayRenew();
    List<WorkerCommand> orders = may ? fleet.apply(r, via) : null;
    if (orders == null) {
      elsewhere(to, null);
      return;
    }
    renew(to, leadership.term(), cancellations.withKills(r, orders));
  }

  /** The answer that renews a lease: whoever gives it has asked {@link Cancellations} before. */
  private static void renew(Consumer<Answer> to, long term, List<WorkerCommand> orders) {
    byte[] body =
        Json.write(WorkerCodec.encodeHeartbeatResponse(term, orders, SchedulerLimits.MOST_ORDERS));
    to.accept(Answer.json(200, body));
  }

  private static void elsewhere(Consumer<Answer> to, String member) {
    to.accept(Answer.json(421, Json.write(WorkerCodec.encodeRedirect(member))));
  }
}

package graderelay.peer;

import graderelay.config.Settings;
import graderelay.net.Exchange;
import graderelay.net.Exchange.Answer;
import graderelay.net.Loop;
import graderelay.wire.Json;
import graderelay.wire.PeerCodec;
import graderelay.wire.PeerRequest;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Asks a peer as well when this node can't decide a user's request quickly: the state service may
 * refuse, or be slow to, this node alone. Every decision is a conditional write or a fresh read, so
 * whichever answer comes first is right.
 */
public final class RequestHedger {
  /** Seconds after which a request that could not be decided is answered with 503. */
  public static final double USER_DEADLINE_S = 3.5;

  /** Seconds for a poll; its user waits for two. */
  public static final double POLL_DEADLINE_S = 1.7;

  /**
   * Seconds after which a request that the state service has not answered is asked of a peer too:
   * usual answers take 10 ms. Both carry the same conditions, so the first answer is as good.
   */
  public static final double HEDGE_S = 0.08;

  /** The same for a poll, which waits for a read that many share anyway; its user waits for 2 s. */
  private static final double POLL_HEDGE_S = 0.7;

  /**
   * Requests that are with peers at once: enough for a node that the state service refuses alone,
   * and no more, since in a storm of questions each would be asked two or three times.
   */
  private static final int MOST_HEDGES_OUT = 64;

  /**
   * Seconds for which a submission that the leader has handed on may stay with a peer before the
   * leader takes it up after all: a few usual answers of the state service.
   */
  private static final double HANDED_ON_S = 0.15;

  /** Seconds for which no submission is handed on to a peer that gave no answer to one. */
  private static final double PASS_OVER_S = 5;

  /** Seconds beyond its own deadline that a request may have for an answer of a peer. */
  private static final double HEDGED_S = 0.15;

  /** Peers that one request is passed to at most. */
  private static final int MOST_HEDGES = 2;

  private static final int REFUSED = 503;
  private static final int TOO_MANY = 429;

  private final Loop loop;
  private final PeerClient peerClient;
  private final BooleanSupplier stuck;
  private final BooleanSupplier awayForAll;
  private final Predicate<String> hears;
  private int out;
  private int nextPeer;
  private final Map<String, Double> passedOver = new HashMap<>();
  private double lastHelp = Double.NEGATIVE_INFINITY;
  private int lastGood;

  /**
   * Makes the duty.
   *
   * @param stuck whether the state service lets this node wait
   * @param awayForAll whether peers say that they are no better off
   * @param hears whether a member has answered this leader a moment ago
   */
  public RequestHedger(
      Loop loop,
      PeerClient peerClient,
      BooleanSupplier stuck,
      BooleanSupplier awayForAll,
      Predicate<String> hears) {
    this.loop = loop;
    this.peerClient = peerClient;
    this.stuck = stuck;
    this.awayForAll = awayForAll;
    this.hears = hears;
  }

  /** When a peer last decided a request for us. */
  public double lastHelp() {
    return lastHelp;
  }

  /**
   * Handles a request here, and puts it to a peer as well if it is slow or refused here; the first
   * answer that is not a refusal goes to the asker.
   */
  public void handle(Exchange e, Exchange.Handler here) {
    new HedgedRequest(e).run(here);
  }

  /**
   * The same for what this node could decide, but would have to let wait behind what only it can
   * do: a peer that doesn't answer at once or can't take it either leaves it to us.
   */
  public void handleElsewhere(Exchange e, Exchange.Handler here) {
    if (peerClient.peers().isEmpty()) {
      handle(e, here);
    } else {
      new HedgedRequest(e).runElsewhere(here);
    }
  }

  /**
   * The peers in turn, without those that gave no answer a moment ago; null if none is left. What
   * is handed to one that is down comes back too late.
   */
  private Settings.Peer nextPeer() {
    for (int i = 0; i < peerClient.peers().size(); i++) {
      Settings.Peer p = peerClient.peers().get(nextPeer++ % peerClient.peers().size());
      if (passedOver.getOrDefault(p.address(), 0.0) <= loop.now() && hears.test(p.member())) {
        return p;
      }
    }
    return null;
  }

  /** One request put here and, as a hedged request, to up to {@link #MOST_HEDGES} peers. */
  private final class HedgedRequest {
    private final Exchange e;
    private Answer refusal;
    private boolean over;
    private int asked;
    private int open = 1;
    private Loop.Timer timer;
    private Loop.Timer end;

    HedgedRequest(Exchange e) {
      this.e = e;
    }

    void run(Exchange.Handler here) {
      timer = loop.after(delay(), this::late);
      // Its user must hear of it before giving up: a peer that is away would take longer.
      end = loop.after(longest(), this::giveUp);
      here.handle(e.answeredTo(a -> answered(a, true)));
    }

    void runElsewhere(Exchange.Handler here) {
      Settings.Peer p = nextPeer();
      if (p == null) {
        run(here);
        return;
      }
      boolean[] left = {false};
      Runnable ours =
          () -> {
            if (!left[0]) {
              left[0] = true;
              run(here);
            }
          };
      Loop.Timer slow = loop.after(HANDED_ON_S, ours);
      askPeer(
          p,
          HANDED_ON_S,
          a -> {
            boolean taken = a != null && a.status() != REFUSED && a.status() != TOO_MANY;
            if (taken && !left[0]) {
              left[0] = true;
              slow.cancel();
              e.to().accept(a);
            } else {
              slow.cancel();
              ours.run();
            }
          });
    }

    /**
     * Puts the user's request to a peer; calls back with the peer's answer, or with null if none
     * came, and then the peer is passed over for {@link #PASS_OVER_S}.
     */
    private void askPeer(Settings.Peer p, double timeoutS, Consumer<Answer> done) {
      peerClient.send(
          p.address(),
          new PeerRequest.UserRequest(e.method(), e.path(), e.body()),
          PeerCodec::decodeRelayed,
          timeoutS,
          relayed -> {
            Answer a = relayed == null ? null : relayed.answer();
            if (a == null) {
              passedOver.put(p.address(), loop.now() + PASS_OVER_S);
            }
            done.accept(a);
          });
    }

    private double longest() {
      boolean poll = e.method().equals("GET");
      return HEDGED_S + (poll ? POLL_DEADLINE_S : USER_DEADLINE_S);
    }

    private void giveUp() {
      if (!over) {
        finish(refusal == null ? Answer.later(REFUSED, Json.error("nobody answered")) : refusal);
      }
    }

    /** A poll waits for a read that many share, so it is slow without being stuck. */
    private double delay() {
      return e.method().equals("GET") ? POLL_HEDGE_S : HEDGE_S;
    }

    /** Not everybody: in an outage each question would become one for every controller. */
    private int most() {
      return Math.min(peerClient.peers().size(), MOST_HEDGES);
    }

    /**
     * Not answered for a while. If it only waits for this node's own tokens or processor, it would
     * wait at the others as well: in a swarm of submissions each was carried out up to three times,
     * and each time counted against the rate that all were waiting for.
     */
    private void late() {
      if (stuck.getAsBoolean() && out < MOST_HEDGES_OUT) {
        askNext();
      } else if (!over) {
        timer = loop.after(delay(), this::late);
      }
    }

    private void askNext() {
      if (over || asked >= most()) {
        return;
      }
      int index = (lastGood + asked++) % peerClient.peers().size();
      Settings.Peer p = peerClient.peers().get(index);
      if (passedOver.getOrDefault(p.address(), 0.0) > loop.now()) {
        askNext();
        return;
      }
      open++;
      out++;
      timer = loop.after(delay(), this::late);
      askPeer(
          p,
          POLL_DEADLINE_S,
          a -> {
            out--;
            if (a != null && a.status() != REFUSED) {
              lastGood = index;
              lastHelp = loop.now();
            } else if (lastGood == index) {
              lastGood = (index + 1) % peerClient.peers().size();
            }
            answered(a, false);
          });
    }

    private void answered(Answer a, boolean fromHere) {
      if (over) {
        return;
      }
      open--;
      if (a != null && a.status() != REFUSED) {
        finish(a);
        return;
      }
      if (a != null && (refusal == null || fromHere)) {
        refusal = a;
      }
      boolean may = out < MOST_HEDGES_OUT && !awayForAll.getAsBoolean();
      if (may && (open == 0 || (fromHere && asked == 0))) {
        // Refused here at once: a peer may be better off.
        timer.cancel();
        askNext();
      }
      if (open == 0 && refusal != null) {
        finish(refusal);
      }
    }

    private void finish(Answer a) {
      over = true;
      timer.cancel();
      end.cancel();
      e.to().accept(a);
    }
  }
}

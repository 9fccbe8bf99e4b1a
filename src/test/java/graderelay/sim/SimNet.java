package graderelay.sim;

import graderelay.net.Exchange;
import graderelay.net.Exchange.Response;
import graderelay.net.Reply;
import graderelay.net.Transport;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * A network between hosts, of which each pair can be cut. What is sent into a cut is held and
 * delivered when it heals, in order and however late, also if its sender has given up.
 */
public final class SimNet {
  private final SimLoop loop;
  private final RandomGenerator random;
  private final Map<String, Exchange.Handler> hosts = new HashMap<>();
  private final Map<String, String> hostOf = new HashMap<>();
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> down = new HashSet<>();
  private final Map<String, String> zones = new HashMap<>();
  private final Set<String> cutZones = new HashSet<>();
  private final Map<String, List<Runnable>> held = new LinkedHashMap<>();

  /** If set, no call needs a new connection, so that a cut holds it instead of refusing it. */
  public boolean alwaysPooled;

  /** Hosts that send but hear nothing: no answer and no request reaches them. */
  private final Set<String> deaf = new HashSet<>();

  /** Hosts that can't open a connection to anybody, while others reach them. */
  private final Set<String> mute = new HashSet<>();

  private record Kept(String method, String path, String query, byte[] body) {}

  /** Copies of heartbeats that wait for the next leader, or null while none are made. */
  private List<Kept> kept;

  /** Chance that a heartbeat is delivered a second time, after up to {@link #copyDelayS}. */
  public double copies;

  public double copyDelayS;

  /** Copies of requests of every kind that were carried out and answered. */
  public final RequestCopies requestCopies;

  /** Times the usual time that a message takes. */
  public double slow = 1;

  /** Chance that an answer is lost although the request was carried out. */
  public double loseAnswers;

  /** Paths of requests whose answers are all lost although the requests were carried out. */
  public Predicate<String> losesAnswersTo = path -> false;

  /** Creates a network without hosts, whose delays are drawn from {@code random}. */
  public SimNet(SimLoop loop, RandomGenerator random) {
    this.loop = loop;
    this.random = random;
    this.requestCopies = new RequestCopies(loop, random, this::deliverCopy);
  }

  /** Serves an address of a host with a handler. */
  public void listen(String address, String host, Exchange.Handler h) {
    hosts.put(address, h);
    hostOf.put(address, host);
  }

  /** Stops serving an address: connections to it are refused. */
  public void close(String address) {
    hosts.remove(address);
  }

  /** The host stands in a zone; hosts that nobody placed belong to none. */
  public void stands(String host, String zone) {
    zones.put(host, zone);
  }

  /** Cuts a zone off from everything outside it, or ends that. */
  public void cutZone(String zone, boolean on) {
    if (on) {
      cutZones.add(zone);
    } else {
      cutZones.remove(zone);
      release();
    }
  }

  private boolean isCut(String a, String b) {
    String za = zones.getOrDefault(a, "");
    String zb = zones.getOrDefault(b, "");
    return cuts.contains(pair(a, b))
        || (!za.equals(zb) && (cutZones.contains(za) || cutZones.contains(zb)));
  }

  /** Lets go what no cut holds any more. */
  private void release() {
    for (String p : new ArrayList<>(held.keySet())) {
      if (!isCut(p.substring(0, p.indexOf('|')), p.substring(p.indexOf('|') + 1))) {
        held.remove(p).forEach(r -> loop.after(0.001, r));
      }
    }
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  /** Cuts the connection between two hosts, both ways. */
  public void cut(String a, String b) {
    cuts.add(pair(a, b));
  }

  /** Cuts the connection between two hosts for so many seconds. */
  void cutFor(String a, String b, double seconds) {
    cut(a, b);
    loop.after(seconds, () -> heal(a, b));
  }

  /** Heals a cut and lets go what it held. */
  public void heal(String a, String b) {
    if (cuts.remove(pair(a, b))) {
      release();
    }
  }

  /** What is sent to the host is lost; what it sends arrives. */
  public void deaf(String host, boolean isDeaf) {
    if (isDeaf) {
      deaf.add(host);
    } else {
      deaf.remove(host);
    }
  }

  /** The host opens no connections any more; those to it are made. */
  public void mute(String host, boolean isMute) {
    if (isMute) {
      mute.add(host);
    } else {
      mute.remove(host);
    }
  }

  /** From now on a copy of each heartbeat is kept. */
  public void keepHeartbeats() {
    kept = new ArrayList<>();
  }

  /** The copies come to all of these, in the order in which the heartbeats were sent. */
  public void deliverKept(String... addresses) {
    List<Kept> all = kept == null ? List.of() : kept;
    kept = null;
    for (Kept k : all) {
      for (String a : addresses) {
        Exchange.Handler h = hosts.get(a);
        if (h != null) {
          loop.after(
              delay(),
              () -> h.handle(new Exchange(k.method(), k.path(), k.query(), k.body(), x -> {})));
        }
      }
    }
  }

  /** A host without power answers nothing and loses what is under way to it. */
  public void down(String host, boolean isDown) {
    if (isDown) {
      down.add(host);
    } else {
      down.remove(host);
    }
  }

  private double delay() {
    return (0.0005 + random.nextDouble() * 0.004) * slow;
  }

  /** Passes a message now, or when the cut between the two hosts heals. */
  private void pass(String from, String to, Runnable r) {
    if (deaf.contains(to)) {
      return;
    }
    if (isCut(from, to)) {
      held.computeIfAbsent(pair(from, to), k -> new ArrayList<>()).add(() -> pass(from, to, r));
    } else {
      loop.after(delay(), r);
    }
  }

  /** A copy arrives at whoever listens at the address now. */
  private void deliverCopy(RequestCopies.Request copy) {
    Exchange.Handler handler = hosts.get(copy.address());
    if (handler != null && !down.contains(hostOf.get(copy.address()))) {
      handler.handle(
          new Exchange(copy.method(), copy.path(), copy.query(), copy.body(), answer -> {}));
    }
  }

  /** What has arrived may arrive once more, long after; nobody waits for that answer. */
  private void copy(String address, String method, String path, String query, byte[] body) {
    if (path.equals("/checkin") && kept != null) {
      kept.add(new Kept(method, path, query, body));
    }
    if (path.equals("/checkin") && copies > 0 && random.nextDouble() < copies) {
      loop.after(
          random.nextDouble() * copyDelayS,
          () -> {
            Exchange.Handler h = hosts.get(address);
            if (h != null) {
              h.handle(new Exchange(method, path, query, body, a -> {}));
            }
          });
    }
  }

  /** Returns the transport of a process on {@code host}, which hears nothing once it is dead. */
  public Transport from(String host, boolean[] dead) {
    return (address, method, path, body, timeoutS, done) -> {
      boolean[] over = {false};
      Consumer<Reply> once =
          r -> {
            if (!over[0] && !dead[0]) {
              over[0] = true;
              done.accept(r);
            }
          };
      String to = hostOf.get(address);
      boolean cutNow = to != null && isCut(host, to);
      boolean newConnection = random.nextInt(4) == 0 && !alwaysPooled;
      boolean unheard = mute.contains(host) || (to != null && deaf.contains(to));
      if (to == null || unheard || down.contains(to) || (cutNow && newConnection)) {
        // Connecting hangs, so nothing ever leaves.
        loop.after(Math.min(1, timeoutS), () -> once.accept(Reply.notSent()));
        return;
      }
      if (!hosts.containsKey(address)) {
        loop.after(delay(), () -> once.accept(Reply.notSent()));
        return;
      }
      loop.after(timeoutS, () -> once.accept(Reply.noResponse()));
      String q = path.contains("?") ? path.substring(path.indexOf('?') + 1) : "";
      String p = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
      byte[] sent = body == null ? new byte[0] : body;
      pass(
          host,
          to,
          () -> {
            Exchange.Handler h = hosts.get(address);
            if (h == null || down.contains(to)) {
              return;
            }
            copy(address, method, p, q, sent);
            h.handle(
                new Exchange(
                    method,
                    p,
                    q,
                    sent,
                    (Response a) -> {
                      requestCopies.onAnswered(
                          new RequestCopies.Request(address, method, p, q, sent), a.status());
                      if (losesAnswersTo.test(p) || random.nextDouble() < loseAnswers) {
                        return;
                      }
                      pass(to, host, () -> once.accept(new Reply(a.status(), a.body(), true)));
                    }));
          });
    };
  }
}

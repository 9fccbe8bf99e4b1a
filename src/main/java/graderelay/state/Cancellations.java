package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.CancellationKnowledge;
import graderelay.core.Heartbeat;
import graderelay.core.LeaseTiming;
import graderelay.core.WorkerCommand;
import graderelay.net.Loop;
import graderelay.wire.FinalState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * What this controller knows of the cancellations that users may have been told of, by any
 * controller. Everything that renews a worker's lease asks here: an answer keeps a task alive for a
 * lease, so it may be given only by who knows every cancellation whose time would be over by then,
 * and it carries the kills of those.
 *
 * <p>One figure says up to when nothing is missing. The state service's answers move it, counted
 * from when they were asked for, and so does a round of words from all other controllers that could
 * have told a user. A message that a job was cancelled helps, but proves nothing: it may be lost.
 */
public final class Cancellations {
  /** Seconds by which what is known of cancellations is old when the peers are asked. */
  private static final double ASK_CANCELLATIONS_S = 2;

  /**
   * Cancelled jobs, not over yet, in a word to a peer, at some 12 bytes each; beyond that it says
   * nothing. Their number depends on users and on how fast records are written, not on machines.
   */
  private static final int MOST_CANCELLATIONS = 8000;

  private final Loop loop;
  private final Cache cache;
  private final List<Settings.Peer> peers;
  private final double renewWithinS;
  private final double beginnersS;
  private final double startedAt;

  /** Cancelled jobs that the copy of the records may not show yet, and when we heard of each. */
  private final Map<String, Double> heard = new LinkedHashMap<>();

  /** When we sent the question that each peer answered with a complete word, the last one. */
  private final Map<String, Double> vouched = new HashMap<>();

  private double knownByWord = Double.NEGATIVE_INFINITY;
  private Predicate<String> mute = p -> false;
  private java.util.function.Consumer<String> listener = id -> {};

  public Cancellations(Loop loop, Cache cache, Settings s) {
    this.loop = loop;
    this.cache = cache;
    this.peers = s.peers();
    this.renewWithinS = s.renewWithinS();
    this.beginnersS = s.beginnersS();
    this.startedAt = loop.now();
  }

  /** Names the peers that can tell nobody anything which the records did not show us. */
  public void mutePeers(Predicate<String> isMute) {
    this.mute = isMute;
  }

  /** Hears of each job that a peer says was cancelled. */
  public void listen(java.util.function.Consumer<String> l) {
    this.listener = l;
  }

  /** Our own cancellation has committed; to be called before its user is told. */
  public void committed(String job) {
    learn(job);
  }

  private void learn(String job) {
    if (!byRecord(job) && heard.put(job, loop.now()) == null) {
      listener.accept(job);
    }
  }

  private boolean byRecord(String job) {
    JobEntry e = cache.job(job);
    FinalState end = cache.finalState(job);
    return (e != null && e.isCancelled()) || (end != null && end.cancelled());
  }

  /** True if the job is known to be cancelled, by its record or by word. */
  public boolean cancelled(String job) {
    return byRecord(job) || heard.containsKey(job);
  }

  /** Up to when we know every cancellation that a user was told of. */
  public double knownUntil() {
    return Math.max(cache.completeAsOf(), knownByWord);
  }

  /** True if we know all that earlier processes of this controller have told users. */
  private boolean complete() {
    return knownUntil() >= startedAt;
  }

  /**
   * True if a lease may be renewed now. A process that has just begun and knows nothing yet may
   * answer for a moment: whoever answered before it knew enough for that, see {@link
   * Settings#beginnersS}.
   */
  public boolean mayRenew() {
    double now = loop.now();
    return now <= knownUntil() + renewWithinS || now <= startedAt + beginnersS;
  }

  /** True if what we know is getting old, so that the peers should be asked. */
  public boolean ageing() {
    return loop.now() > knownUntil() + ASK_CANCELLATIONS_S;
  }

  /** The kills that go with an answer to this report; anybody may order these, at any time. */
  public List<WorkerCommand> kills(Heartbeat r) {
    List<WorkerCommand> kills = new ArrayList<>();
    for (Heartbeat.Entry e : r.tasks()) {
      if (e.stage() != Heartbeat.Stage.EXITED
          && cancelled(e.task().substring(0, Math.max(0, e.task().indexOf('/'))))) {
        kills.add(new WorkerCommand.Kill(e.task(), e.attempt(), 0));
      }
    }
    return kills;
  }

  /** The same in front of what the leader orders, of which the stopped tasks' part is left out. */
  public List<WorkerCommand> withKills(Heartbeat r, List<WorkerCommand> orders) {
    List<WorkerCommand> all = kills(r);
    if (all.isEmpty()) {
      return orders;
    }
    var killed = new java.util.HashSet<String>();
    all.forEach(o -> killed.add(o.task() + "#" + o.attempt()));
    for (WorkerCommand o : orders) {
      if (!killed.contains(o.task() + "#" + o.attempt())) {
        all.add(o);
      }
    }
    return all;
  }

  // ---------------------------------------------------------------- words

  /** What we say of ourselves. */
  public CancellationKnowledge word() {
    prune();
    Collection<String> jobs = new TreeSet<>(cache.cancelledJobs());
    jobs.addAll(heard.keySet());
    if (jobs.size() > MOST_CANCELLATIONS) {
      return CancellationKnowledge.NONE;
    }
    double now = loop.now();
    double known = knownUntil();
    return new CancellationKnowledge(
        complete(),
        now - startedAt,
        known == Double.NEGATIVE_INFINITY ? -1 : now - known,
        List.copyOf(jobs));
  }

  /** What the copy of the records shows by now need not be remembered. */
  private void prune() {
    heard.values().removeIf(at -> at < cache.completeAsOf());
  }

  /** A peer's word, in answer to a question that we sent at {@code sentAt}. */
  public void heard(String peer, double sentAt, CancellationKnowledge w) {
    adopt(sentAt, w);
    // What an earlier process of that peer has told is known only if it ended before our figure.
    double began = loop.now() - w.processS() * (1 - LeaseTiming.DRIFT);
    if (w.complete() || (w.processS() > 0 && knownUntil() >= began)) {
      vouched.merge(peer, sentAt, Math::max);
    }
    double all = complete() ? loop.now() : Double.NEGATIVE_INFINITY;
    for (Settings.Peer p : peers) {
      if (!mute.test(p.member())) {
        all = Math.min(all, vouched.getOrDefault(p.member(), Double.NEGATIVE_INFINITY));
      }
    }
    knownByWord = Math.max(knownByWord, all);
  }

  /** Somebody's word, whose knowledge is ours from now on. */
  public void adopt(double sentAt, CancellationKnowledge w) {
    w.jobs().forEach(this::learn);
    if (w.knownS() >= 0) {
      knownByWord = Math.max(knownByWord, sentAt - w.knownS() * (1 + LeaseTiming.DRIFT));
    }
  }
}

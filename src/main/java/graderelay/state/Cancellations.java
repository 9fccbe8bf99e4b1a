package graderelay.state;

import graderelay.config.Settings;
import graderelay.core.Heartbeat;
import graderelay.core.KnownCancellations;
import graderelay.core.LeaseTiming;
import graderelay.core.WorkerCommand;
import graderelay.net.Loop;
import graderelay.wire.FinalState;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * What this controller knows of the cancellations that users may have been told of, by any
 * controller. Everything that renews a worker's lease asks here: a renewal keeps a task alive for
 * the time of a lease, so it may be given only by a controller that knows every cancellation which
 * must have taken effect by then, and it carries the kill commands of those.
 *
 * <p>One time says up to when nothing is missing ({@link #knownUntil}). The store's answers move it
 * on, counted from when they were asked for, and so does a round of answers from all other
 * controllers that could have told a user. A message that a job was cancelled helps, but proves
 * nothing: it may be lost.
 */
public final class Cancellations {
  /** Seconds after {@link #knownUntil} at which the peers are asked. */
  private static final double STALE_AFTER_S = 2;

  /**
   * Cancelled jobs, not over yet, in a message to a peer, at some 12 bytes each; beyond that it
   * says nothing. Their number depends on users and on how fast records are written, not on
   * machines.
   */
  private static final int MOST_CANCELLATIONS = 8000;

  private final Loop loop;
  private final Cache cache;
  private final List<Settings.Peer> peers;
  private final double renewWithinS;
  private final double beginnersS;
  private final double startedAt;

  /** Cancelled jobs that the copy of the records may not show yet, and when we learned of each. */
  private final Map<String, Double> learnedAt = new LinkedHashMap<>();

  /** When we sent the last request that each peer answered with complete knowledge. */
  private final Map<String, Double> completeAnswerAskedAt = new HashMap<>();

  private double knownFromPeersUntil = Double.NEGATIVE_INFINITY;
  private Predicate<String> peerTellsNobody = peer -> false;
  private Consumer<String> listener = job -> {};

  /** Starts with no knowledge, at the start of this process. */
  public Cancellations(Loop loop, Cache cache, Settings settings) {
    this.loop = loop;
    this.cache = cache;
    this.peers = settings.peers();
    this.renewWithinS = settings.renewWithinS();
    this.beginnersS = settings.beginnersS();
    this.startedAt = loop.now();
  }

  /** Names the peers that can tell nobody anything which the records did not show us. */
  public void mutePeers(Predicate<String> tellsNobody) {
    this.peerTellsNobody = tellsNobody;
  }

  /** Sets the listener for jobs that a peer says were cancelled. */
  public void listen(Consumer<String> newListener) {
    this.listener = newListener;
  }

  /** Our own cancellation has committed; to be called before its user is told. */
  public void committed(String job) {
    learn(job);
  }

  private void learn(String job) {
    if (!isRecorded(job) && learnedAt.put(job, loop.now()) == null) {
      listener.accept(job);
    }
  }

  private boolean isRecorded(String job) {
    JobEntry live = cache.job(job);
    FinalState end = cache.finalState(job);
    return (live != null && live.isCancelled()) || (end != null && end.cancelled());
  }

  /** True if the job is known to be cancelled, by its record or from a peer. */
  public boolean cancelled(String job) {
    return isRecorded(job) || learnedAt.containsKey(job);
  }

  /** Up to when we know every cancellation that a user was told of. */
  public double knownUntil() {
    return Math.max(cache.completeAsOf(), knownFromPeersUntil);
  }

  /** True if we know all that earlier processes of this controller have told users. */
  private boolean isComplete() {
    return knownUntil() >= startedAt;
  }

  /**
   * True if a lease may be renewed now. A process that has just started and knows nothing yet may
   * renew for a moment: whoever renewed before it knew enough for that, see {@link
   * Settings#beginnersS}.
   */
  public boolean mayRenew() {
    double now = loop.now();
    return now <= knownUntil() + renewWithinS || now <= startedAt + beginnersS;
  }

  /** True if what we know is getting old, so that the peers should be asked. */
  public boolean ageing() {
    return loop.now() > knownUntil() + STALE_AFTER_S;
  }

  // ---------------------------------------------------------------- kill commands

  /** The kills that go with an answer to a heartbeat; any controller may command them, always. */
  public List<WorkerCommand> kills(Heartbeat heartbeat) {
    List<WorkerCommand> kills = new ArrayList<>();
    for (Heartbeat.TaskStatus entry : heartbeat.tasks()) {
      if (entry.stage() != Heartbeat.Stage.EXITED && cancelled(jobOf(entry.task()))) {
        kills.add(new WorkerCommand.Kill(entry.task(), entry.attempt(), 0));
      }
    }
    return kills;
  }

  private static String jobOf(String task) {
    return task.substring(0, Math.max(0, task.indexOf('/')));
  }

  /** The same ahead of the leader's commands, of which those for killed tasks are left out. */
  public List<WorkerCommand> withKills(Heartbeat heartbeat, List<WorkerCommand> commands) {
    List<WorkerCommand> all = kills(heartbeat);
    if (all.isEmpty()) {
      return commands;
    }
    Set<String> killed = new HashSet<>();
    all.forEach(kill -> killed.add(taskAndAttempt(kill)));
    for (WorkerCommand command : commands) {
      if (!killed.contains(taskAndAttempt(command))) {
        all.add(command);
      }
    }
    return all;
  }

  private static String taskAndAttempt(WorkerCommand command) {
    return command.task() + "#" + command.attempt();
  }

  // ---------------------------------------------------------------- exchange with peers

  /** What we tell peers of our knowledge. */
  public KnownCancellations ownKnowledge() {
    forgetRecorded();
    Collection<String> jobs = new TreeSet<>(cache.cancelledJobs());
    jobs.addAll(learnedAt.keySet());
    if (jobs.size() > MOST_CANCELLATIONS) {
      return KnownCancellations.NONE;
    }
    double now = loop.now();
    double known = knownUntil();
    return new KnownCancellations(
        isComplete(),
        now - startedAt,
        known == Double.NEGATIVE_INFINITY ? -1 : now - known,
        List.copyOf(jobs));
  }

  /** What the copy of the records shows by now need not be remembered. */
  private void forgetRecorded() {
    learnedAt.values().removeIf(at -> at < cache.completeAsOf());
  }

  /** Takes a peer's knowledge, in answer to a request that we sent at {@code sentAt}. */
  public void onPeerKnowledge(String peer, double sentAt, KnownCancellations knowledge) {
    adopt(sentAt, knowledge);
    // What an earlier process of that peer has told is known only if it ended before our time.
    double peerStartedAt =
        loop.now() - knowledge.processUptimeS() * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    if (knowledge.complete() || (knowledge.processUptimeS() > 0 && knownUntil() >= peerStartedAt)) {
      completeAnswerAskedAt.merge(peer, sentAt, Math::max);
    }
    knownFromPeersUntil = Math.max(knownFromPeersUntil, oldestCompleteAnswer());
  }

  /** When the request was sent since which every controller has answered completely. */
  private double oldestCompleteAnswer() {
    double oldest = isComplete() ? loop.now() : Double.NEGATIVE_INFINITY;
    for (Settings.Peer peer : peers) {
      if (!peerTellsNobody.test(peer.member())) {
        double askedAt =
            completeAnswerAskedAt.getOrDefault(peer.member(), Double.NEGATIVE_INFINITY);
        oldest = Math.min(oldest, askedAt);
      }
    }
    return oldest;
  }

  /** Takes another controller's knowledge, which is ours from now on. */
  public void adopt(double sentAt, KnownCancellations knowledge) {
    knowledge.jobs().forEach(this::learn);
    if (knowledge.knownUntilAgeS() >= 0) {
      double peerKnewUntil =
          sentAt - knowledge.knownUntilAgeS() * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
      knownFromPeersUntil = Math.max(knownFromPeersUntil, peerKnewUntil);
    }
  }
}

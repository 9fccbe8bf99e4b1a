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
 * The job cancellations that this controller has learned of. Any controller may confirm a
 * cancellation to a user, and a renewed worker lease keeps tasks running for the duration of the
 * lease. So a controller may renew worker leases only if it has learned of every confirmed
 * cancellation that has to take effect before the renewed lease ends; the renewal carries the kill
 * commands for them.
 *
 * <p>{@link #completeAsOf} is the time up to which no confirmed cancellation is missing. It
 * advances with each read of the store, with each round of answers from all other controllers that
 * may have confirmed one, and with the time that a peer reports as its own; all count from when the
 * request was sent. A message that a job was cancelled does not advance it, since such messages may
 * be lost.
 */
public final class Cancellations {
  /** Seconds after {@link #completeAsOf} from which the peers are queried. */
  private static final double STALE_AFTER_S = 2;

  /**
   * Cancelled but unfinished jobs in a message to a peer, at about 12 bytes each. If there are
   * more, the message carries no cancellations at all. Their number depends on the users and on the
   * rate at which records are written, not on the number of machines.
   */
  private static final int MAX_CANCELLATIONS_PER_MESSAGE = 8000;

  private final Loop loop;
  private final Cache cache;
  private final List<Settings.Peer> peers;
  private final double maxStalenessS;
  private final double startupRenewalS;
  private final double startedAt;

  /** Cancelled jobs that the cache may not show yet, with the time at which each was learned. */
  private final Map<String, Double> learnedAt = new LinkedHashMap<>();

  /** Send time of the last request to which each peer returned all cancellations it confirmed. */
  private final Map<String, Double> completeAnswerRequestedAt = new HashMap<>();

  private double completeAsOfFromPeers = Double.NEGATIVE_INFINITY;
  private Predicate<String> isPeerExcluded = peer -> false;
  private Consumer<String> listener = job -> {};

  /** Creates an instance without cancellations; to be called when the process starts. */
  public Cancellations(Loop loop, Cache cache, Settings settings) {
    this.loop = loop;
    this.cache = cache;
    this.peers = settings.peers();
    this.maxStalenessS = settings.maxCancellationStalenessS();
    this.startupRenewalS = settings.startupRenewalS();
    this.startedAt = loop.now();
  }

  /**
   * Sets the predicate for peers whose answers are not needed, because they can't confirm any
   * cancellation that is missing in the cached records.
   */
  public void excludePeers(Predicate<String> isExcluded) {
    this.isPeerExcluded = isExcluded;
  }

  /** Sets the listener for cancelled jobs that the records do not show yet. */
  public void setListener(Consumer<String> newListener) {
    this.listener = newListener;
  }

  /** Adds a cancellation that this controller has committed; call it before answering the user. */
  public void onCommitted(String job) {
    add(job);
  }

  private void add(String job) {
    if (!isRecorded(job) && learnedAt.put(job, loop.now()) == null) {
      listener.accept(job);
    }
  }

  private boolean isRecorded(String job) {
    JobEntry liveJob = cache.job(job);
    FinalState finalState = cache.finalState(job);
    return (liveJob != null && liveJob.isCancelled())
        || (finalState != null && finalState.cancelled());
  }

  /**
   * True if the job is known to be cancelled, from its record, a peer or this controller's own
   * commit.
   */
  public boolean isCancelled(String job) {
    return isRecorded(job) || learnedAt.containsKey(job);
  }

  /** True if a job that is known to be cancelled may still have tasks on workers. */
  public boolean hasUnfinished() {
    return !learnedAt.isEmpty() || !cache.cancelledJobs().isEmpty();
  }

  /** The time up to which every cancellation that was confirmed to a user is known. */
  public double completeAsOf() {
    return Math.max(cache.completeAsOf(), completeAsOfFromPeers);
  }

  /** True if all cancellations that earlier processes of this controller confirmed are known. */
  private boolean coversEarlierProcesses() {
    return completeAsOf() >= startedAt;
  }

  /**
   * True if worker leases may be renewed now. A process that has just started may renew them for a
   * short time without knowing any cancellations, because the controllers that renewed them before
   * had current cancellations; see {@link Settings#startupRenewalS}.
   */
  public boolean mayRenewLeases() {
    double now = loop.now();
    return now <= completeAsOf() + maxStalenessS || isInStartupRenewal();
  }

  /**
   * True while this process may renew worker leases because it has just started, whatever
   * cancellations there are; those who renewed them before left time for that.
   */
  public boolean isInStartupRenewal() {
    return loop.now() <= startedAt + startupRenewalS;
  }

  /** True if the known cancellations are old enough that the peers should be queried. */
  public boolean isStale() {
    return loop.now() > completeAsOf() + STALE_AFTER_S;
  }

  // ---------------------------------------------------------------- kill commands

  /**
   * The kill commands for cancelled jobs in a heartbeat. Every controller may send them at any
   * time, whether it leads or not.
   */
  public List<WorkerCommand> killCommands(Heartbeat heartbeat) {
    List<WorkerCommand> kills = new ArrayList<>();
    for (Heartbeat.TaskStatus entry : heartbeat.tasks()) {
      if (entry.stage() != Heartbeat.Stage.EXITED && isCancelled(jobOf(entry.task()))) {
        kills.add(new WorkerCommand.Kill(entry.task(), entry.attempt(), 0));
      }
    }
    return kills;
  }

  private static String jobOf(String task) {
    return task.substring(0, Math.max(0, task.indexOf('/')));
  }

  /** The kill commands, followed by the leader's commands except those for killed attempts. */
  public List<WorkerCommand> prependKillCommands(
      Heartbeat heartbeat, List<WorkerCommand> commands) {
    List<WorkerCommand> allCommands = killCommands(heartbeat);
    if (allCommands.isEmpty()) {
      return commands;
    }
    Set<String> killedAttempts = new HashSet<>();
    allCommands.forEach(kill -> killedAttempts.add(taskAndAttempt(kill)));
    for (WorkerCommand command : commands) {
      if (!killedAttempts.contains(taskAndAttempt(command))) {
        allCommands.add(command);
      }
    }
    return allCommands;
  }

  private static String taskAndAttempt(WorkerCommand command) {
    return command.task() + "#" + command.attempt();
  }

  // ---------------------------------------------------------------- exchange with peers

  /** The cancellations known to this controller, to be sent to peers. */
  public KnownCancellations ownKnowledge() {
    removeRecorded();
    Collection<String> jobs = new TreeSet<>(cache.cancelledJobs());
    jobs.addAll(learnedAt.keySet());
    if (jobs.size() > MAX_CANCELLATIONS_PER_MESSAGE) {
      return KnownCancellations.NONE;
    }
    double now = loop.now();
    double completeAsOf = completeAsOf();
    return new KnownCancellations(
        coversEarlierProcesses(),
        now - startedAt,
        completeAsOf == Double.NEGATIVE_INFINITY ? -1 : now - completeAsOf,
        List.copyOf(jobs));
  }

  /** Removes the cancellations that the cache includes by now. */
  private void removeRecorded() {
    learnedAt.values().removeIf(at -> at < cache.completeAsOf());
  }

  /** Handles the cancellations from a peer's answer to a request sent at {@code sentAt}. */
  public void onPeerKnowledge(String peer, double sentAt, KnownCancellations knowledge) {
    merge(sentAt, knowledge);
    // An earlier process of the peer may have confirmed cancellations that the peer has lost.
    // None is missing here if the known cancellations are complete up to the start of the peer's
    // current process.
    double peerStartedAt =
        loop.now() - knowledge.processUptimeS() * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
    if (knowledge.complete()
        || (knowledge.processUptimeS() > 0 && completeAsOf() >= peerStartedAt)) {
      completeAnswerRequestedAt.merge(peer, sentAt, Math::max);
    }
    completeAsOfFromPeers = Math.max(completeAsOfFromPeers, oldestCompleteAnswerRequestedAt());
  }

  /** Send time of the oldest of the last requests that were answered completely, over all peers. */
  private double oldestCompleteAnswerRequestedAt() {
    double oldest = coversEarlierProcesses() ? loop.now() : Double.NEGATIVE_INFINITY;
    for (Settings.Peer peer : peers) {
      if (!isPeerExcluded.test(peer.member())) {
        double requestedAt =
            completeAnswerRequestedAt.getOrDefault(peer.member(), Double.NEGATIVE_INFINITY);
        oldest = Math.min(oldest, requestedAt);
      }
    }
    return oldest;
  }

  /** Adds the cancellations from another controller's answer to a request. */
  public void merge(double sentAt, KnownCancellations knowledge) {
    knowledge.jobs().forEach(this::add);
    if (knowledge.knownUntilAgeS() >= 0) {
      double peerCompleteAsOf =
          sentAt - knowledge.knownUntilAgeS() * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
      completeAsOfFromPeers = Math.max(completeAsOfFromPeers, peerCompleteAsOf);
    }
  }
}

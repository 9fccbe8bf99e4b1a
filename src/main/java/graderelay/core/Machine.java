package graderelay.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The leader's view of one machine. */
final class Machine {
  /** Images remembered of a machine; only a guide for placement. */
  private static final int MOST_IMAGES = 64;

  final String name;
  String type;
  String zone;
  boolean spot;
  String address;

  /** When we first knew of it. */
  final double knownSince;

  /** When it was rented, as far as known. */
  double requestedAt;

  /** We rented it, or the list showed it booting: its first report tells how long that took. */
  boolean booting;

  boolean heartbeatReceived;
  long session;
  long seq;
  long lastSeenTerm;
  double lastHeartbeatAt = Double.NEGATIVE_INFINITY;

  /** When we last answered a report: no lease of this worker can begin later. */
  double lastAnsweredAt = Double.NEGATIVE_INFINITY;

  /** When we first answered a report of its present session, or NaN. */
  double firstAnsweredAt = Double.NaN;

  /**
   * When we first saw its present session. A session that was shown by an answer to direct orders
   * has a whole lease of its own before any report of it was answered.
   */
  double sessionSeenAt = Double.NEGATIVE_INFINITY;

  /** The controller that its last report came to: the leader itself, or one that passed it on. */
  String heartbeatVia = "";

  /** That report was answered and not a copy, so its worker stays there if it hears us. */
  boolean heartbeatAnswered;

  /** The session is over in any case: its lease has run out, counted safely. */
  boolean leaseExpired;

  /** Since when its reports come but answers do not reach it, or null. */
  Double answersLostSince;

  Double interruptionAt;
  boolean drain;
  boolean cordoned;

  /** Its operators want it empty. */
  boolean operatorDrain;

  /** The deletion was sent; nothing new is placed. */
  boolean scalingIn;

  double scaleInRequestedAt = Double.NEGATIVE_INFINITY;

  /** Failures without a success in between by the jobs that are not known to be at fault. */
  final Map<String, Integer> errorJobs = new HashMap<>();

  double lastErrorAt = Double.NEGATIVE_INFINITY;
  double quarantineUntil = Double.NEGATIVE_INFINITY;

  /** Being emptied, since cheaper machines have room for what it does. */
  boolean consolidating;

  /** Tasks of several jobs failed here; to be replaced once empty. */
  boolean faulty;

  /** When we last asked it straight, and how often in a row that failed. */
  double lastProbeAt = Double.NEGATIVE_INFINITY;

  int failedProbes;

  /** The cloud lists it as failed: everything on it is gone. */
  boolean failed;

  double idleSince;
  Resources capacity = Resources.NONE;
  Resources used = Resources.NONE;

  final Map<String, Claim> claims = new HashMap<>();
  Heartbeat lastHeartbeat;

  /** Attempts that a late launch could start again if the worker forgot them. */
  final Set<String> unreapableAttempts = new HashSet<>();

  /** Images this machine has fetched, by last use; a guess that only guides placement. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** An image is there that no record of ours names yet. */
  boolean imagesChanged;

  /** Which of so many records of images names this machine. */
  int imagePart(int parts) {
    return Math.floorMod(name.hashCode(), parts);
  }

  /** Images that a task here waits for, as of the last report. */
  final Set<String> fetching = new HashSet<>();

  Machine(String name, double now) {
    this.name = name;
    this.knownSince = now;
    this.requestedAt = now;
    this.idleSince = now;
  }

  /** What services hold here, kept up with the claims. */
  Resources serviceResources = Resources.NONE;

  /** Claims here, by priority. */
  final PriorityCounts byPriority = new PriorityCounts();

  /** Failures in a row that this machine is blamed for. */
  int errorStreak() {
    int n = 0;
    for (int k : errorJobs.values()) {
      n += k;
    }
    return n;
  }

  /** The same as {@code free().holds(need)}, without an object for each question. */
  boolean holds(Resources need) {
    return claims.size() < SchedulerLimits.MOST_ON_MACHINE
        && need.cpus() <= capacity.cpus() - used.cpus() + Resources.SLACK
        && need.gpus() <= capacity.gpus() - used.gpus() + Resources.SLACK
        && need.memGb() <= capacity.memGb() - used.memGb() + Resources.SLACK;
  }

  Resources free() {
    return capacity.minus(used);
  }

  void allocate(Claim c) {
    used = used.plus(c.resources());
    byPriority.add(c.priority);
    if (c.job.spec.isService()) {
      serviceResources = serviceResources.plus(c.resources());
    }
  }

  void release(Claim c) {
    // An empty machine starts from nothing, so that rounding doesn't add up.
    used = claims.isEmpty() ? Resources.NONE : used.minus(c.resources());
    byPriority.remove(c.priority);
    if (c.job.spec.isService()) {
      serviceResources = claims.isEmpty() ? Resources.NONE : serviceResources.minus(c.resources());
    }
  }

  /** Notes that the image is there; only the last few are remembered, as the machine does. */
  void learnImage(String image, double now) {
    imagesChanged |= images.put(image, now) == null;
    fetching.remove(image);
    if (images.size() > MOST_IMAGES) {
      images.remove(images.keySet().iterator().next());
    }
  }

  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** True if a task here waits for the image, so that a second one joins the same fetch. */
  boolean isFetching(String image) {
    return fetching.contains(image);
  }
}

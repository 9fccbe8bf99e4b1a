package graderelay.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The leader's view of one machine: what the cloud and its worker say of it, its lease, the claims
 * on it, and whether it may take more tasks.
 */
final class Machine {
  /** Images remembered of a machine; only a guide for placement. */
  private static final int MOST_IMAGES = 64;

  // ---------------------------------------------------------------- the instance

  final String name;

  /** Name of its machine type, null until known. */
  String type;

  /** Null until known. */
  String zone;

  /** True for a spot instance, false for an on-demand instance. */
  boolean spot;

  /** Where its worker takes commands, null until known. */
  String address;

  /** When this leader first knew of it. */
  final double knownSince;

  /** When its creation was requested, as far as known. */
  double requestedAt;

  /** Requested by us or listed as booting: its first heartbeat tells how long the boot took. */
  boolean booting;

  /** The cloud lists it as failed: everything on it is gone. */
  boolean failed;

  /** When the cloud will take the machine, or null without such a notice. */
  Double interruptionAt;

  /** Its deletion was sent; nothing new is placed. */
  boolean scalingIn;

  /** When the deletion was last sent. */
  double scaleInRequestedAt = Double.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- heartbeats and the lease

  /** This leader has had a heartbeat of it. */
  boolean heartbeatReceived;

  /** Its worker's incarnation, and the sequence number of its last heartbeat therein. */
  long session;

  long seq;

  /** The highest term that its heartbeats have shown. */
  long lastSeenTerm;

  /** When its last heartbeat, or answer to commands, was taken. */
  double lastHeartbeatAt = Double.NEGATIVE_INFINITY;

  /** That heartbeat. */
  Heartbeat lastHeartbeat;

  /** When we last answered a heartbeat: no lease of this worker can begin later. */
  double lastAnsweredAt = Double.NEGATIVE_INFINITY;

  /** When we first answered a heartbeat of its present session, or NaN. */
  double firstAnsweredAt = Double.NaN;

  /**
   * When we first saw its present session. A session that was shown by an answer to direct commands
   * has a whole lease of its own before any heartbeat of it was answered.
   */
  double sessionSeenAt = Double.NEGATIVE_INFINITY;

  /** The controller that its last heartbeat came to; "" for the leader itself. */
  String heartbeatVia = "";

  /** That heartbeat was answered and not a copy, so its worker stays there if it hears us. */
  boolean heartbeatAnswered;

  /** The session is over in any case: its lease has run out, counted safely. */
  boolean leaseExpired;

  /** Since when its heartbeats come but answers do not reach it, or null. */
  Double answersLostSince;

  /** When we last probed it. */
  double lastProbeAt = Double.NEGATIVE_INFINITY;

  /** Direct commands and probes in a row that got no answer. */
  int failedProbes;

  /** Attempts that a late launch could start again if the worker forgot them. */
  final Set<AttemptKey> unreapableAttempts = new HashSet<>();

  // ---------------------------------------------------------------- availability

  /** Nothing new is placed, and what runs may end. */
  boolean drain;

  /** Its operators want nothing new on it. */
  boolean cordoned;

  /** Its operators want it empty. */
  boolean operatorDrain;

  /** Being emptied, since cheaper machines have room for what it does. */
  boolean consolidating;

  /** Tasks of several jobs failed here; to be replaced once empty. */
  boolean faulty;

  /** Failures without a success in between by the jobs that are not known to be at fault. */
  final Map<String, Integer> errorJobs = new HashMap<>();

  /** When a task last failed for which the machine is blamed. */
  double lastErrorAt = Double.NEGATIVE_INFINITY;

  /** Nothing new is placed before this time, after failures. */
  double quarantineUntil = Double.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- claims

  /** Claims here, by task id. */
  final Map<String, Claim> claims = new HashMap<>();

  /** Claims here, counted by priority. */
  final PriorityCounts byPriority = new PriorityCounts();

  /** Since when it has been without claims. */
  double idleSince;

  /** What the machine type offers; none while the type isn't known. */
  Resources capacity = Resources.NONE;

  /** What the claims here take. */
  Resources used = Resources.NONE;

  /** What the services among them take. */
  Resources serviceResources = Resources.NONE;

  // ---------------------------------------------------------------- images

  /** Images this machine has fetched, by last use; a guess that only guides placement. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** An image is there that none of the leader's image records names yet. */
  boolean imagesChanged;

  /** Images that a task here waits for, as of the last heartbeat. */
  final Set<String> fetching = new HashSet<>();

  Machine(String name, double now) {
    this.name = name;
    this.knownSince = now;
    this.requestedAt = now;
    this.idleSince = now;
  }

  /** Which of so many records of images names this machine. */
  int imagePart(int parts) {
    return Math.floorMod(name.hashCode(), parts);
  }

  /** Failures in a row that this machine is blamed for. */
  int errorStreak() {
    int streak = 0;
    for (int errors : errorJobs.values()) {
      streak += errors;
    }
    return streak;
  }

  /** The same as {@code free().holds(need)}, without an object for each question. */
  boolean holds(Resources need) {
    return claims.size() < SchedulerLimits.MAX_TASKS_PER_MACHINE
        && need.cpus() <= freeCpus() + Resources.ROUNDING_TOLERANCE
        && need.gpus() <= capacity.gpus() - used.gpus() + Resources.ROUNDING_TOLERANCE
        && need.memGb() <= capacity.memGb() - used.memGb() + Resources.ROUNDING_TOLERANCE;
  }

  /** What the claims leave of the machine. */
  Resources free() {
    return capacity.minus(used);
  }

  /** The CPUs of {@link #free()}, without an object for each question. */
  double freeCpus() {
    return capacity.cpus() - used.cpus();
  }

  /** Counts a claim that was just added to {@link #claims}. */
  void allocate(Claim claim) {
    used = used.plus(claim.resources());
    byPriority.add(claim.priority);
    if (claim.job.spec.isService()) {
      serviceResources = serviceResources.plus(claim.resources());
    }
  }

  /** Takes out a claim that was just removed from {@link #claims}. */
  void release(Claim claim) {
    // An empty machine starts from nothing, so that rounding doesn't add up.
    used = claims.isEmpty() ? Resources.NONE : used.minus(claim.resources());
    byPriority.remove(claim.priority);
    if (claim.job.spec.isService()) {
      serviceResources =
          claims.isEmpty() ? Resources.NONE : serviceResources.minus(claim.resources());
    }
  }

  /** Records that the image is there; only the last few are remembered, as the machine does. */
  void learnImage(String image, double now) {
    imagesChanged |= images.put(image, now) == null;
    fetching.remove(image);
    if (images.size() > MOST_IMAGES) {
      images.remove(images.keySet().iterator().next());
    }
  }

  /** True if the image is likely there already. */
  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** True if a task here waits for the image, so that a second one joins the same fetch. */
  boolean isFetching(String image) {
    return fetching.contains(image);
  }
}

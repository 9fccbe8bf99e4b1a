package graderelay.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The leader's view of one machine: its state as reported by the cloud and by its worker, its
 * lease, the claims on it, and whether it may be given more tasks.
 */
final class Machine {
  /** Upper bound on the images tracked for one machine. They are only a hint for placement. */
  private static final int MAX_TRACKED_IMAGES = 64;

  // ---------------------------------------------------------------- the instance

  final String name;

  /** Name of its machine type, null until known. */
  String type;

  /** Null until known. */
  String zone;

  /** True for a spot instance, false for an on-demand instance. */
  boolean spot;

  /** Network address at which its worker accepts commands; null until known. */
  String address;

  /** When this leader first saw the machine. */
  final double firstSeenAt;

  /** When its creation was requested, if known; otherwise when this leader first saw it. */
  double requestedAt;

  /**
   * True if this leader requested it or the cloud listed it as booting; its first heartbeat then
   * yields a boot time sample.
   */
  boolean booting;

  /** The cloud lists it as failed, so all of its tasks are lost. */
  boolean failed;

  /** When the cloud will reclaim the machine; null unless it gave an interruption notice. */
  Double interruptionAt;

  /** A deletion request was sent; no new tasks are placed here. */
  boolean scalingIn;

  /** When the deletion request was last sent. */
  double scaleInRequestedAt = Double.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- heartbeats and the lease

  /** This leader has received a heartbeat from it. */
  boolean heartbeatReceived;

  /** Its worker's incarnation. */
  long session;

  /** Sequence number of the last heartbeat within that incarnation. */
  long lastHeartbeatSeq;

  /** The highest term that its heartbeats have reported. */
  long highestReportedTerm;

  /** When its last heartbeat or command response was received. */
  double lastHeartbeatAt = Double.NEGATIVE_INFINITY;

  /** The heartbeat received at that time. */
  Heartbeat lastHeartbeat;

  /** When this leader last responded to a heartbeat; no lease of this worker can start later. */
  double lastResponseAt = Double.NEGATIVE_INFINITY;

  /** When this leader first responded to a heartbeat of the current session, or NaN. */
  double firstResponseAt = Double.NaN;

  /**
   * When this leader first saw the current session. A session that is first seen in a response to
   * direct commands already holds a full lease, although none of its heartbeats has been responded
   * to.
   */
  double sessionFirstSeenAt = Double.NEGATIVE_INFINITY;

  /** The controller that received its last heartbeat; "" for the leader itself. */
  String heartbeatController = "";

  /**
   * True if that heartbeat was current and was responded to. A worker that receives the response
   * keeps using the same controller.
   */
  boolean respondedToLastHeartbeat;

  /** The lease has certainly expired, with clock drift allowed for, so the session is over. */
  boolean leaseExpired;

  /** Since when its heartbeats arrive but the responses to them are lost; null if they are not. */
  Double responsesLostSince;

  /** When it was last probed. */
  double lastProbeAt = Double.NEGATIVE_INFINITY;

  /** Consecutive direct commands and probes without a response. */
  int consecutiveProbeFailures;

  /**
   * Term of this leader's commands to the worker, not above the leader's own. It rises when a
   * response has to fence earlier commands, see {@link LaunchFencing}.
   */
  long commandTerm;

  /** Direct launches that may still reach the present session of the worker. */
  final DirectLaunches directLaunches = new DirectLaunches();

  // ---------------------------------------------------------------- availability

  /** Operators cordoned it: no new tasks are placed here. */
  boolean cordoned;

  /** Operators want it drained of all tasks. */
  boolean drainRequestedByOperator;

  /** Marked for consolidation: it is being emptied, since its work fits on cheaper machines. */
  boolean consolidating;

  /**
   * Tasks of several jobs failed here. The machine is replaced once it is empty; if it isn't for a
   * while, one task at a time is tried here until one succeeds.
   */
  boolean faulty;

  /** Time until which no tasks are tried on a faulty machine. */
  double faultyUntil = Double.NEGATIVE_INFINITY;

  /** Consecutive task failures by job id, of jobs that are not known to be at fault. */
  final Map<String, Integer> failureCountByJob = new HashMap<>();

  /** When a task failure was last attributed to this machine. */
  double lastFailureAt = Double.NEGATIVE_INFINITY;

  /** No new tasks are placed here before this time, because of earlier failures. */
  double quarantineUntil = Double.NEGATIVE_INFINITY;

  // ---------------------------------------------------------------- claims

  /** Claims on this machine by task id. */
  final Map<String, Claim> claims = new HashMap<>();

  /** Number of claims on this machine by priority. */
  final PriorityCounts claimCountByPriority = new PriorityCounts();

  /** Since when it has had no claims. */
  double idleSince;

  /** Resources of its machine type; none while the type is unknown. */
  Resources capacity = Resources.NONE;

  /** Resources taken by the claims on this machine. */
  Resources used = Resources.NONE;

  /** Resources taken by those claims that belong to services. */
  Resources serviceResources = Resources.NONE;

  // ---------------------------------------------------------------- images

  /** Images that the machine has probably fetched, least recently used first; a placement hint. */
  final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);

  /** The machine has an image that the stored image records do not name yet. */
  boolean imagesChanged;

  /** Images being fetched for tasks on this machine, as of the last heartbeat. */
  final Set<String> imagesBeingFetched = new HashSet<>();

  Machine(String name, long commandTerm, double now) {
    this.name = name;
    this.commandTerm = commandTerm;
    this.firstSeenAt = now;
    this.requestedAt = now;
    this.idleSince = now;
  }

  /** Index of the image record, out of {@code shardCount} records, that holds this machine. */
  int imageShard(int shardCount) {
    return Math.floorMod(name.hashCode(), shardCount);
  }

  /** Consecutive failures attributed to this machine. */
  int consecutiveFailures() {
    int total = 0;
    for (int failures : failureCountByJob.values()) {
      total += failures;
    }
    return total;
  }

  /**
   * True if the request fits in the free resources and the task limit. The check of resources
   * matches {@link Resources#hasRoomFor} on {@link #free()}, but allocates no object per call.
   */
  boolean hasRoomFor(Resources request) {
    return freeSlots() > 0
        && request.cpus() <= freeCpus() + Resources.ROUNDING_TOLERANCE
        && request.gpus() <= capacity.gpus() - used.gpus() + Resources.ROUNDING_TOLERANCE
        && request.memGb() <= capacity.memGb() - used.memGb() + Resources.ROUNDING_TOLERANCE;
  }

  /** Number of further tasks allowed by the limit on tasks per machine, and on a faulty machine. */
  int freeSlots() {
    return faulty
        ? (isTrialRunning() ? 0 : 1)
        : SchedulerLimits.MAX_TASKS_PER_MACHINE - claims.size();
  }

  /** True if a task was claimed here since the last failure. */
  private boolean isTrialRunning() {
    return claims.values().stream().anyMatch(claim -> claim.claimedAt > lastFailureAt);
  }

  /** True while a faulty machine gets no new tasks; running tasks may finish. */
  boolean isOutOfUse(double now) {
    return faulty && now < faultyUntil;
  }

  /** Resources that are not taken by claims. */
  Resources free() {
    return capacity.minus(used);
  }

  /** The CPUs of {@link #free()}, without allocating an object per call. */
  double freeCpus() {
    return capacity.cpus() - used.cpus();
  }

  /** Adds a claim that was just put into {@link #claims} to the totals. */
  void allocate(Claim claim) {
    used = used.plus(claim.resources());
    claimCountByPriority.add(claim.priority);
    if (claim.job.spec.isService()) {
      serviceResources = serviceResources.plus(claim.resources());
    }
  }

  /** Subtracts a claim that was just removed from {@link #claims} from the totals. */
  void release(Claim claim) {
    // Resets to zero when the machine is empty, so that rounding errors don't accumulate.
    used = claims.isEmpty() ? Resources.NONE : used.minus(claim.resources());
    claimCountByPriority.remove(claim.priority);
    if (claim.job.spec.isService()) {
      serviceResources =
          claims.isEmpty() ? Resources.NONE : serviceResources.minus(claim.resources());
    }
  }

  /**
   * Records that the machine has the image; beyond the limit, the least recently used image is
   * dropped, as in the machine's own cache.
   */
  void recordImage(String image, double now) {
    imagesChanged |= images.put(image, now) == null;
    imagesBeingFetched.remove(image);
    if (images.size() > MAX_TRACKED_IMAGES) {
      images.remove(images.keySet().iterator().next());
    }
  }

  /** True if the machine probably has the image. */
  boolean hasImage(String image) {
    return images.containsKey(image);
  }

  /** True if the image is being fetched, so that another task with it would share that fetch. */
  boolean isFetching(String image) {
    return imagesBeingFetched.contains(image);
  }
}

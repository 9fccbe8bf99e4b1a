package graderelay.core;

import graderelay.quota.AdmissionControl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Everything the leader knows, with the sums that placement decides by. */
final class ClusterState {
  /**
   * Seconds for which a team's account may be above its committed claims before it is lowered by a
   * change of its own. Claims lower it on their way, so this is for teams that only end work.
   */
  private static final double ACCOUNT_RELEASE_S = 5;

  final Map<String, Job> jobs = new LinkedHashMap<>();
  final Map<String, Machine> machines = new LinkedHashMap<>();
  Map<String, MachineType> types = Map.of();

  /** What each team's claims take together: claims, not reports. */
  final Map<String, Resources> teamUse = new HashMap<>();

  /** Claims that were asked to stop, other than by their user. */
  final Set<Claim> stopping = new LinkedHashSet<>();

  /** Jobs that may have come to their end since the last look. */
  final Set<Job> maybeOver = new LinkedHashSet<>();

  /** All live claims, by priority. */
  final PriorityCounts byPriority = new PriorityCounts();

  /** What an earlier leader kept of the images on machines. */
  final Map<String, List<String>> knownImages = new HashMap<>();

  /** The term that this leader won; what has not seen it has not heard this leader. */
  long firstTerm;

  /** Rises whenever there may be more room than before, so that what found none tries again. */
  long roomVersion;

  /** Machines and claims looked at by rounds so far; tests bound it. */
  long looked;

  /** Jobs whose users have asked to stop them. */
  final Set<Job> stopped = new LinkedHashSet<>();

  /** Records that share the images of each thousand machines. */
  int imagePartsPerThousand = SchedulerLimits.IMAGE_PARTS_PER_THOUSAND;

  /** Records that share the images of all machines. */
  int imageParts;

  /** Something has changed that a round should look at. */
  boolean dirty = true;

  /** The records are still being read: nothing is new yet. */
  boolean loading = true;

  /** The term under which orders go out, and when this leader began. */
  long term;

  double tookOver;

  /** Which jobs wait for which. */
  Dependencies dependencies;

  /** Who may keep leases alive in zones that are cut off from us. */
  LeaseDelegates delegates;

  /** Admission by the stored limits, once they are switched on. */
  final AdmissionControl admission;

  final List<Action> out = new ArrayList<>();
  Policy policy;

  /**
   * Makes the state of a new leader.
   *
   * @param name tells this leader from all others in the records of accounts
   */
  ClusterState(Policy policy, String name) {
    this.policy = policy;
    this.admission = new AdmissionControl(name, ACCOUNT_RELEASE_S);
  }

  /** Machines are shared out anew among the records, so that all of them have to be written. */
  void imageParts(int parts) {
    imageParts = parts;
    machines.values().forEach(m -> m.imagesChanged = !m.images.isEmpty());
  }

  void note(String text) {
    out.add(new Action.Note(text));
  }

  Resources use(String team) {
    return teamUse.getOrDefault(team, Resources.NONE);
  }

  /** True if one more task of this size keeps the team within its limit. */
  boolean withinLimit(String team, Resources extra) {
    // Asked for each task that is placed: without stored limits it costs nothing.
    if (admission.enabled() && !admission.fits(team, extra.amount())) {
      return false;
    }
    Team t = policy.team(team);
    if (t == null) {
      return true;
    }
    Resources u = use(team).plus(extra);
    return (t.cpusMax() <= 0 || u.cpus() <= t.cpusMax() + Resources.SLACK)
        && (t.gpusMax() <= 0 || u.gpus() <= t.gpusMax() + Resources.SLACK);
  }

  /** CPUs that the team's limit leaves beside its claims; without a limit, any number. */
  double cpusLeft(String team) {
    if (admission.isStopped(team)) {
      return 0;
    }
    Team t = policy.team(team);
    return t == null || t.cpusMax() <= 0 ? Double.MAX_VALUE : t.cpusMax() - use(team).cpus();
  }

  /** True if this much more work of the team stays within what it is guaranteed. */
  boolean withinGuarantee(String team, Resources extra) {
    Team t = policy.team(team);
    if (t == null || (t.cpus() <= 0 && t.gpus() <= 0)) {
      return false;
    }
    Resources u = use(team).plus(extra);
    return u.cpus() <= t.cpus() + Resources.SLACK && u.gpus() <= t.gpus() + Resources.SLACK;
  }

  /** True if the team would still use at least its guarantee without this much of it. */
  boolean beyondGuarantee(String team, Resources part) {
    Team t = policy.team(team);
    if (t == null) {
      return true;
    }
    Resources u = use(team).minus(part);
    return u.cpus() + Resources.SLACK >= t.cpus() && u.gpus() + Resources.SLACK >= t.gpus();
  }

  Machine machine(String name, double now) {
    Machine m = machines.get(name);
    if (m == null) {
      m = new Machine(name, now);
      for (String image : knownImages.getOrDefault(name, List.of())) {
        m.learnImage(image, now);
      }
      m.imagesChanged = false;
      machines.put(name, m);
    }
    return m;
  }

  /** Counts a claim in every sum. */
  void add(Claim c, double now) {
    Machine m = machine(c.machine, now);
    m.claims.put(c.taskId(), c);
    m.take(c);
    byPriority.add(c.priority);
    teamUse.merge(c.job.spec.team(), c.room(), Resources::plus);
    if (c.phase == Claim.Phase.CLAIMING) {
      admission.placed(c.job.spec.team(), c.job.amount);
    }
    c.job.claims.put(c.task, c);
    c.job.open.clear(c.task);
    if (m.zone != null) {
      c.job.zoneClaims.merge(m.zone, 1, Integer::sum);
      c.zone = m.zone;
    }
  }

  /** The transaction of a claim has committed. */
  void held(Claim c) {
    c.phase = Claim.Phase.HELD;
    admission.noLongerPlaced(c.job.spec.team(), c.job.amount);
  }

  /** Takes a claim out of every sum. */
  void remove(Claim c, double now) {
    Machine m = machine(c.machine, now);
    if (!m.claims.remove(c.taskId(), c)) {
      return; // Taken out before.
    }
    m.give(c);
    byPriority.remove(c.priority);
    stopping.remove(c);
    maybeOver.add(c.job);
    roomVersion++;
    if (m.claims.isEmpty()) {
      m.idleSince = now;
    }
    teamUse.merge(c.job.spec.team(), Resources.NONE.minus(c.room()), Resources::plus);
    if (c.phase == Claim.Phase.CLAIMING) {
      admission.noLongerPlaced(c.job.spec.team(), c.job.amount);
    }
    c.job.claims.remove(c.task, c);
    if (c.zone != null) {
      c.job.zoneClaims.merge(c.zone, -1, Integer::sum);
    }
    if (c.madeFor != null) {
      c.madeFor.preempting--;
      c.madeFor = null;
    }
  }

  /** Asks a claim to give its place up; what keeps it from ending is looked at each round. */
  void askStop(Claim c, double now) {
    c.stopAsked = true;
    c.stopAskedAt = now;
    stopping.add(c);
  }

  /** Learns where a machine stands; claims taken over before that are counted in its zone now. */
  void locate(Machine m, String type, String zone, boolean spot) {
    m.type = type;
    m.spot = spot;
    MachineType t = types.get(type);
    m.room = t == null ? Resources.NONE : Resources.of(t);
    if (m.zone == null && zone != null) {
      m.zone = zone;
      for (Claim c : m.claims.values()) {
        if (c.zone == null) {
          c.zone = zone;
          c.job.zoneClaims.merge(zone, 1, Integer::sum);
        }
      }
    }
  }

  /**
   * True if the machine can be given a task now: it reports, it has shown that it hears this leader
   * (a copy of a report from before the takeover can't), and nothing is known against it. A machine
   * that missed two reports is no target, since a launch to it would be of unknown fate.
   */
  boolean usable(Machine m, double now) {
    return m.reported
        && !m.leaseOver
        && m.deafSince == null
        && m.seenTerm >= firstTerm
        && !m.drain
        && !m.cordoned
        && !m.returning
        && m.noticeAt == null
        && now >= m.quarantineUntil
        && m.room.cpus() > 0
        && now - m.lastReport < policy.heartbeatIntervalS() * WorkerCommands.SILENT_REPORTS;
  }
}

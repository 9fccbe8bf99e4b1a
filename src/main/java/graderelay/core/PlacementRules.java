package graderelay.core;

import java.util.List;

/**
 * Where a task of a job may go: the job's own constraints (types, zone, spot), the machines it
 * failed on, zone placement against its other claims, and how many tasks of a suspect job are tried
 * at once.
 */
final class PlacementRules {
  private final ClusterState cluster;

  PlacementRules(ClusterState cluster) {
    this.cluster = cluster;
  }

  /** The static part of what a job allows. */
  boolean allowed(Job j, Machine m) {
    JobSpec s = j.spec;
    return (s.types() == null || s.types().contains(m.type))
        && (s.zone() == null || s.zone().equals(m.zone))
        && (s.spot() || !m.spot)
        && !m.closing
        && !avoided(j, m);
  }

  /**
   * Where a task of the job failed, unless that is most of the machines: a job must be tried on,
   * and on a small fleet no other may be left.
   */
  private boolean avoided(Job j, Machine m) {
    return j.failedOn.contains(m.name) && j.failedOn.size() * 2 < cluster.machines.size();
  }

  /** Tasks that may be claimed at once of a job that may be at fault: a look costs little. */
  int mostTried(Job j) {
    return j.suspect ? 1 : j.unsure ? cluster.policy.tuning().attemptCap() : Integer.MAX_VALUE;
  }

  /** True if the job's tasks must stay in one zone or be spread over zones. */
  static boolean zoned(Job j) {
    return j.spec.oneZone() || j.spec.spread();
  }

  /** The part that depends on where the job's other tasks are, judged on claims. */
  static boolean zoneAllowed(Job j, String zone) {
    if (!zoned(j)) {
      return true;
    }
    int known = 0;
    int here = 0;
    for (var e : j.zoneClaims.entrySet()) {
      known += e.getValue();
      here += e.getKey().equals(zone) ? e.getValue() : 0;
    }
    if (known != j.claims.size()) {
      return false; // A claim stands on a machine whose zone is not known yet.
    }
    if (j.spec.oneZone() && here != known) {
      return false;
    }
    return !j.spec.spread() || here < j.spec.zoneLimit();
  }

  /**
   * True if the job should start sooner than its image can be fetched, and work that it may preempt
   * stands on a machine that has the image.
   */
  boolean warmRoom(Job j, List<Machine> usable, double now) {
    Double wait = cluster.policy.startObjectivesS().get(j.spec.jobClass());
    if (wait == null || now - j.waitingSince > wait) {
      return false;
    }
    cluster.looked += usable.size();
    for (Machine m : usable) {
      MachineType t = cluster.types.get(m.type);
      if (m.warm(j.spec.image())
          && t != null
          && t.fetchGbPerS() > 0
          && j.spec.imageGb() / t.fetchGbPerS() > wait
          && allowed(j, m)
          && zoneAllowed(j, m.zone)
          && canMakeRoom(j, m)) {
        return true;
      }
    }
    return false;
  }

  /** True if room is on its way on the machine, or can be made at little loss. */
  private static boolean canMakeRoom(Job j, Machine m) {
    Resources room = m.free();
    for (Claim c : m.claims.values()) {
      boolean comes = c.stopAsked || c.phase == Claim.Phase.SETTLING;
      boolean lower = c.phase == Claim.Phase.HELD && j.priority().beats(c.priority);
      if (comes || lower) {
        room = room.plus(c.room());
      }
    }
    return room.holds(j.need);
  }
}

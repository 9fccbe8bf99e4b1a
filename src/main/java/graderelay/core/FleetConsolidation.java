package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Consolidation before scale in: revisions as closing the on-demand machines that deadlines don't
 * need, the dearest first. Arrays on them run to their end; services are moved one at a time to
 * where there is room and their image. A closed machine is scaled in once it is empty.
 */
final class FleetConsolidation {
  /** Seconds that a machine is charged at least; before that there is nothing to save. */
  private static final double CHARGED_AT_LEAST_S = 60;

  /**
   * Share of the ordinary machines that may be closed in one plan, beside one: of hundreds, one a
   * second would stand idle for minutes after a peak.
   */
  private static final double CLOSE_SHARE = 0.02;

  /** Machines looked at in one plan as candidates for closing, for each thousand machines. */
  private static final int CLOSE_TRIES_PER_THOUSAND = 8;

  /** Share of a machine's own size that must be left over when it is closed: no to and fro. */
  private static final double CLOSE_SLACK = 0.5;

  /** Jobs of the largest size seen that warm machines must have room for when one is closed. */
  private static final int WARM_JOBS = 2;

  /** Share of a machine up to which services are moved off it. */
  private static final double MOVE_SHARE = 0.5;

  /** Seconds between moves of replicas, each of which is away for a moment. */
  private static final double MOVE_EVERY_S = 2;

  private final ClusterState cluster;
  private final Deadlines deadlines;
  private final DemandHistory demand;
  private final double startedAt;
  private double lastMove = Double.NEGATIVE_INFINITY;

  FleetConsolidation(
      ClusterState cluster, Deadlines deadlines, DemandHistory demand, double startedAt) {
    this.cluster = cluster;
    this.deadlines = deadlines;
    this.demand = demand;
    this.startedAt = startedAt;
  }

  /**
   * Closes machines while the CPUs that arrays can have stay above what deadlines need.
   *
   * @param surplus CPUs beyond what deadlines need; negative reopens closing machines
   * @param keep machines that hold the spare room of the plan, which stay open
   */
  void close(double surplus, Set<Machine> keep, double now) {
    boolean impatient =
        cluster.jobs.values().stream().anyMatch(this::impatient)
            || demand.arrivals().stream().anyMatch(a -> impatient(a.spec()));
    if (impatient || now - startedAt < ScaleInPlanner.SETTLE_S) {
      cluster.machines.values().forEach(m -> m.closing = false);
      return;
    }
    List<Machine> onDemand = onDemandMachines();
    double left = reopen(onDemand, surplus);
    onDemand.sort(Comparator.comparingDouble(m -> -wasted(m)));
    int most = atOnce(onDemand);
    int tries = CLOSE_TRIES_PER_THOUSAND * FleetPlanner.thousandsOfMachines(cluster);
    for (Machine m : onDemand) {
      if (m.closing || keep.contains(m) || now - m.requestedAt < CHARGED_AT_LEAST_S) {
        continue;
      }
      double forArrays = m.room.cpus() - serviceCpus(m);
      boolean enough = left - forArrays > CLOSE_SLACK * forArrays;
      if (enough && tries-- <= 0) {
        break; // The next plan looks again; each look compares with the whole fleet.
      }
      if (enough && movable(m, onDemand, now) && warmEnoughWithout(m, onDemand)) {
        m.closing = true;
        left -= forArrays;
        cluster.note("closing " + m.name + ": its work fits on cheaper machines");
        if (--most <= 0) {
          break; // A few at a time, so that the next plan sees what came of it.
        }
      }
    }
    move(onDemand, now);
  }

  /** Reported on-demand machines of a known type that are not on their way out. */
  private List<Machine> onDemandMachines() {
    List<Machine> onDemand = new ArrayList<>();
    for (Machine m : cluster.machines.values()) {
      if (m.reported
          && !m.spot
          && !m.leaseOver
          && !m.returning
          && cluster.types.containsKey(m.type)) {
        onDemand.add(m);
      }
    }
    return onDemand;
  }

  /** Reopens closing machines while the surplus is negative; returns the surplus after that. */
  private static double reopen(List<Machine> onDemand, double surplus) {
    double left = surplus;
    for (Machine m : onDemand) {
      if (m.closing && left < 0) {
        m.closing = false;
        left += m.room.cpus();
      }
    }
    return left;
  }

  /** Machines or replicas to move in one step: a small fleet one, a large one its share. */
  private static int atOnce(List<Machine> onDemand) {
    return 1 + (int) (onDemand.size() * CLOSE_SHARE);
  }

  private boolean impatient(Job j) {
    return !j.spec.isService() && !j.blocked() && !deadlines.mayWaitForSpot(j);
  }

  private boolean impatient(JobSpec s) {
    return !s.isService() && !deadlines.mayWaitForSpot(s);
  }

  private static double serviceCpus(Machine m) {
    return m.services.cpus();
  }

  /** Money an hour that the machine costs beyond what its services would cost elsewhere. */
  private double wasted(Machine m) {
    MachineType t = cluster.types.get(m.type);
    return t.price() * (1 - serviceCpus(m) / t.cpus());
  }

  /** True if the machine's services fit on the other on-demand machines that stay. */
  private boolean movable(Machine m, List<Machine> onDemand, double now) {
    if (serviceCpus(m) > MOVE_SHARE * m.room.cpus()) {
      return false;
    }
    Map<Machine, Resources> free = new LinkedHashMap<>();
    for (Machine o : onDemand) {
      if (o != m && !o.closing && cluster.usable(o, now)) {
        free.put(o, o.room.minus(o.services));
      }
    }
    for (Claim c : m.claims.values()) {
      if (!c.job.spec.isService()) {
        continue;
      }
      Machine to = null;
      for (var e : free.entrySet()) {
        if (e.getValue().holds(c.room()) && goodTarget(c, e.getKey())) {
          to = e.getKey();
          break;
        }
      }
      if (to == null) {
        return false;
      }
      free.merge(to, c.room(), Resources::minus);
    }
    return true;
  }

  /**
   * True if for every image of work that should start sooner than it can be fetched, the machines
   * that stay and have the image could hold what may come. Arrays there can be preempted for it.
   */
  private boolean warmEnoughWithout(Machine m, List<Machine> onDemand) {
    Map<String, Integer> largest = new HashMap<>();
    Map<String, JobSpec> typical = new HashMap<>();
    for (DemandHistory.Arrival a : demand.arrivals()) {
      JobSpec s = a.spec();
      if (s.isService()
          && cluster.policy.startObjectivesS().containsKey(s.jobClass())
          && m.warm(s.image())) {
        largest.merge(s.image(), s.tasks(), Math::max);
        typical.put(s.image(), s);
      }
    }
    for (var e : typical.entrySet()) {
      int slots = 0;
      for (Machine o : onDemand) {
        if (o != m && !o.closing && o.warm(e.getKey())) {
          Resources room = o.room.minus(o.services);
          slots += room.times(Resources.of(e.getValue()));
        }
      }
      // What is moved off this machine takes room there as well.
      int moved = (int) Math.ceil(serviceCpus(m) / Math.max(e.getValue().cpus(), 1e-3));
      if (slots < WARM_JOBS * largest.get(e.getKey()) + moved) {
        return false;
      }
    }
    return true;
  }

  /** Zone rules make moves of some services delicate; those stay where they are. */
  private static boolean goodTarget(Claim c, Machine to) {
    JobSpec s = c.job.spec;
    return to.warm(s.image())
        && (s.types() == null || s.types().contains(to.type))
        && (s.zone() == null || s.zone().equals(to.zone))
        && !s.oneZone()
        && (!s.spread() || s.tasks() == 1);
  }

  /** Asks a few settled services on closing machines to stop, where room waits for them. */
  private void move(List<Machine> onDemand, double now) {
    if (now - lastMove < MOVE_EVERY_S) {
      return;
    }
    int left = atOnce(onDemand);
    Map<Machine, Resources> promised = new HashMap<>();
    for (Machine m : onDemand) {
      if (!m.closing) {
        continue;
      }
      for (Claim c : m.claims.values()) {
        if (!settled(c, now)) {
          continue;
        }
        Machine to = target(c, m, onDemand, promised, now);
        if (to != null) {
          cluster.askStop(c, now);
          lastMove = now;
          promised.merge(to, c.room(), Resources::plus);
          cluster.note("move " + c.taskId() + " off " + m.name);
          if (--left <= 0) {
            return;
          }
        }
      }
    }
  }

  private static boolean settled(Claim c, double now) {
    return c.phase == Claim.Phase.HELD
        && !c.stopAsked
        && c.job.spec.isService()
        && c.runningSince > 0
        && now - c.runningSince > CHARGED_AT_LEAST_S;
  }

  /** The first machine that takes the service of {@code from}, beside what is promised, or null. */
  private Machine target(
      Claim c, Machine from, List<Machine> onDemand, Map<Machine, Resources> promised, double now) {
    for (Machine to : onDemand) {
      if (to != from
          && !to.closing
          && to.holds(c.room())
          && goodTarget(c, to)
          && cluster.usable(to, now)
          && to.free().minus(promised.getOrDefault(to, Resources.NONE)).holds(c.room())) {
        return to;
      }
    }
    return null;
  }
}

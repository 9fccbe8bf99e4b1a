package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Makes room by preemption, after the placement of a round: stops work of lower priority, or work
 * that another team runs beyond its guarantee while the job is within its own, on as few machines
 * and with as little lost as possible.
 */
final class Preemption {
  /**
   * Seconds from a stop to the start in its place, without the time to save: the worker's report,
   * the change that ends the claim, the next claim, its launch. Where saving doesn't leave as much
   * of a wanted wait, the work is stopped at once; what has lost least is chosen.
   */
  private static final double HURRY_S = 2;

  /** Seconds of lost work that one image fetch is counted as when choosing whom to stop. */
  private static final double COLD_COST_S = 20;

  /**
   * Seconds of lost work that each stop counts as, whatever it has done: the task's end, its next
   * claim and its next end are changes of the state service, of which there are some tens a second.
   */
  private static final double STOP_COST_S = 4;

  /** Share of the fleet that work of lower priority may have without being stopped for arrays. */
  private static final double SPARED_SHARE = 0.1;

  private final ClusterState cluster;
  private final PlacementRules rules;
  private final QuotaGate quota;

  /** Jobs that can wait for room beyond their guarantee, see {@link Deadlines}. */
  private Set<Job> atLeisure = Set.of();

  /** What each team is about to lose already, so that nobody is pushed below its guarantee. */
  private final Map<String, Resources> stopping = new HashMap<>();

  /** Whether what a priority outranks is little, worked out once a round. */
  private final Map<Priority, Boolean> littleBelow = new EnumMap<>(Priority.class);

  /**
   * Demands for which no room can be made in this round. A thousand jobs that wait differ in little
   * else than their names, and each would look at every machine and its claims.
   */
  private final Set<Demand> fruitless = new HashSet<>();

  /** All that decides whether room can be made for a task, apart from what it would cost. */
  private record Demand(
      String team,
      Priority priority,
      Resources need,
      List<String> types,
      String zone,
      boolean spot) {
    /** Null for a job whose own claims and failures decide as well. */
    static Demand of(Job j) {
      JobSpec s = j.spec;
      return s.oneZone() || s.spread() || !j.failedOn.isEmpty()
          ? null
          : new Demand(s.team(), j.priority(), j.need, s.types(), s.zone(), s.spot());
    }
  }

  /** What it would take to make room on one machine: the claims to stop, and the loss. */
  private record Offer(Machine machine, List<Claim> victims, double cost) {}

  Preemption(ClusterState cluster, PlacementRules rules, QuotaGate quota) {
    this.cluster = cluster;
    this.rules = rules;
    this.quota = quota;
  }

  /** Takes the jobs that wait at leisure as of the last fleet plan. */
  void atLeisure(Set<Job> waitingAtLeisure) {
    atLeisure = waitingAtLeisure;
  }

  /** Makes room, in queue order, for each job of the round that still has open tasks. */
  void makeRoom(List<QueueOrder.Entry> waiting, List<Machine> usable, double now) {
    littleBelow.clear();
    fruitless.clear();
    stopping.clear();
    for (Claim c : cluster.stopping) {
      stopping.merge(c.job.spec.team(), c.room(), Resources::plus);
    }
    for (QueueOrder.Entry k : waiting) {
      Job j = k.job;
      if (!j.open.isEmpty() && j.notBefore <= now) {
        makeRoom(j, usable, now);
      }
    }
  }

  private void makeRoom(Job j, List<Machine> usable, double now) {
    // What only waits for a change of its record may find room already.
    int open = j.open.cardinality() - CommitReservations.blocked(cluster, j);
    int wanted = Math.min(open, rules.mostTried(j) - j.claims.size()) - j.preempting;
    boolean guaranteed = cluster.withinGuarantee(j.spec.team(), j.need);
    if (wanted <= 0 || !(guaranteed || cluster.byPriority.hasBelow(j.priority()))) {
      return;
    }
    if (cluster.admission.isStopped(j.spec.team()) || !quota.limitAllows(j)) {
      return;
    }
    if (!guaranteed && atLeisure.contains(j)) {
      // Each task of it may cost dozens of small ones their work, and two changes each.
      return;
    }
    Demand demand = Demand.of(j);
    if (fruitless.contains(demand) || spares(j, guaranteed, usable, now)) {
      return;
    }
    preempt(j, wanted, guaranteed, demand, usable, now);
  }

  /** Stops the cheapest offers, one task's room at a time, for up to {@code wanted} tasks. */
  private void preempt(
      Job j, int wanted, boolean guaranteed, Demand demand, List<Machine> usable, double now) {
    boolean zoned = PlacementRules.zoned(j);
    boolean any = false;
    Resources promised = Resources.NONE;
    boolean within = false;
    PriorityQueue<Offer> offers = null;
    while (wanted-- > 0) {
      promised = promised.plus(j.need);
      if (!cluster.withinLimit(j.spec.team(), promised)) {
        return;
      }
      boolean still = guaranteed && cluster.withinGuarantee(j.spec.team(), promised);
      if (offers == null || still != within) {
        within = still;
        offers = offers(j, usable, within, now);
      }
      Offer best = null;
      while (best == null && !offers.isEmpty()) {
        Offer o = offers.poll();
        if (zoned && !PlacementRules.zoneAllowed(j, o.machine().zone)) {
          continue;
        }
        // What others were told to give up since may have brought a team down to its guarantee.
        best = within ? offer(j, o.machine(), true, now) : o;
      }
      if (best == null) {
        if (!any && demand != null) {
          fruitless.add(demand); // Others only take away what might be stopped.
        }
        return;
      }
      any = true;
      stop(best.victims(), j, now);
      Offer again = offer(j, best.machine(), within, now);
      if (again != null) {
        offers.add(again);
      }
    }
  }

  /**
   * True if what the job outranks is so little that it is spared: on a full fleet, a swarm of small
   * long tasks was stopped again and again, dozens for each start, got nothing done in minutes, and
   * every stop is two more changes of the state service. An array takes the next room instead.
   */
  private boolean spares(Job j, boolean guaranteed, List<Machine> usable, double now) {
    return !guaranteed
        && !j.spec.isService()
        && !QueueOrder.waitingWins(j, now)
        && littleBelow.computeIfAbsent(j.priority(), p -> littleBelow(p, usable));
  }

  private boolean littleBelow(Priority priority, List<Machine> usable) {
    double all = 0;
    for (Machine m : usable) {
      all += m.room.cpus();
    }
    double below = 0;
    for (Job o : cluster.jobs.values()) {
      if (priority.beats(o.priority())) {
        below += o.claims.size() * o.spec.cpus();
      }
    }
    cluster.looked += usable.size();
    return below <= all * SPARED_SHARE;
  }

  private PriorityQueue<Offer> offers(Job j, List<Machine> usable, boolean within, double now) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(Comparator.comparingDouble(Offer::cost));
    cluster.looked += usable.size();
    for (Machine m : usable) {
      boolean any = within ? !m.claims.isEmpty() : m.byPriority.hasBelow(j.priority());
      if (any && rules.allowed(j, m) && PlacementRules.zoneAllowed(j, m.zone)) {
        Offer o = offer(j, m, within, now);
        if (o != null) {
          offers.add(o);
        }
      }
    }
    return offers;
  }

  private Offer offer(Job j, Machine m, boolean within, double now) {
    List<Claim> victims = victims(j, m, j.need, within, now);
    if (victims == null) {
      return null;
    }
    double cost = m.warm(j.spec.image()) ? 0 : COLD_COST_S;
    for (Claim c : victims) {
      cost += lost(c, now) + STOP_COST_S;
    }
    return new Offer(m, victims, cost);
  }

  private void stop(List<Claim> victims, Job j, double now) {
    boolean first = true;
    Double wait = cluster.policy.startObjectivesS().get(j.spec.jobClass());
    for (Claim c : victims) {
      boolean hurry =
          j.priority().beats(c.priority) && wait != null && wait < c.job.spec.saveS() + HURRY_S;
      cluster.askStop(c, now);
      stopping.merge(c.job.spec.team(), c.room(), Resources::plus);
      c.hardStop = hurry;
      if (first) {
        c.madeFor = j;
        j.preempting++;
        first = false;
      }
      cluster.note(
          "preempt "
              + c.taskId()
              + " attempt "
              + c.attempt
              + " on "
              + c.machine
              + " for "
              + j.spec.id());
    }
  }

  /** Run time that is lost when a claim is stopped, weighted by its CPUs. */
  private static double lost(Claim c, double now) {
    if (c.stage != Heartbeat.Stage.RUNNING) {
      return 0.5;
    }
    double ran = now - c.stageSince;
    double every = c.job.spec.checkpointS();
    return (every > 0 ? ran % every : ran) * c.job.spec.cpus() / 4 + 1;
  }

  /** The cheapest claims whose end makes room on the machine, or null if that is not possible. */
  private List<Claim> victims(Job j, Machine m, Resources need, boolean within, double now) {
    Resources free = m.free();
    List<Claim> can = new ArrayList<>();
    cluster.looked += m.claims.size();
    for (Claim c : m.claims.values()) {
      if (c.stopAsked || c.phase == Claim.Phase.SETTLING) {
        // Its room comes back soon, but it is promised to whom it was stopped for, if anybody.
        if (c.madeFor == null) {
          free = free.plus(c.room());
        }
        continue;
      }
      if (c.phase == Claim.Phase.HELD && preemptible(j, c, within)) {
        can.add(c);
      }
    }
    if (free.holds(need)) {
      return null; // Room is on its way already.
    }
    can.sort(
        Comparator.<Claim, Priority>comparing(c -> c.priority)
            .reversed()
            .thenComparingDouble(c -> lost(c, now)));
    List<Claim> chosen = new ArrayList<>();
    for (Claim c : can) {
      chosen.add(c);
      free = free.plus(c.room());
      if (free.holds(need)) {
        return chosen;
      }
    }
    return null;
  }

  /** True if the claim is of lower priority, or borrowed beyond another team's guarantee. */
  private boolean preemptible(Job j, Claim c, boolean within) {
    JobSpec v = c.job.spec;
    boolean lower = j.priority().beats(c.priority);
    Resources gone = stopping.getOrDefault(v.team(), Resources.NONE).plus(c.room());
    boolean borrowed =
        within
            && !v.team().equals(j.spec.team())
            && !v.isService()
            && cluster.beyondGuarantee(v.team(), gone);
    return lower || borrowed;
  }
}

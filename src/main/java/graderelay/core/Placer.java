package graderelay.core;

import graderelay.service.Constants;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Sampled rounds: each waiting task takes the best fit of a few machines drawn from those that
 * report, and where there is no room, work that may be stopped for it is stopped.
 */
final class Placer {
  private final World world;
  private final RandomGenerator random;

  /** What each team is about to lose already, so that nobody is pushed below its guarantee. */
  /** Jobs that wait for others of their team, see {@link Deadlines}. */
  private Set<Job> stepBack = Set.of();

  private final Map<String, Room> stopping = new HashMap<>();

  Placer(World world, RandomGenerator random) {
    this.world = world;
    this.random = random;
  }

  void stepBack(Set<Job> jobs) {
    stepBack = jobs;
  }

  /** Places what can be placed and returns the new claims, counted but not committed yet. */
  List<Claim> round(double now) {
    List<Claim> claims = new ArrayList<>();
    List<Machine> usable = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (world.usable(m, now)) {
        usable.add(m);
      }
    }
    List<Job> waiting = new ArrayList<>();
    for (Job j : world.jobs.values()) {
      if (j.waiting()) {
        waiting.add(j);
      }
    }
    waiting.sort(order(now));
    for (Job j : waiting) {
      place(j, usable, claims, now);
    }
    stopping.clear();
    for (Machine m : world.machines.values()) {
      for (Claim c : m.claims.values()) {
        if (c.stopAsked) {
          stopping.merge(c.job.spec.team(), c.room(), Room::plus);
        }
      }
    }
    for (Job j : waiting) {
      if (!j.open.isEmpty() && j.notBefore <= now) {
        makeRoom(j, usable, now);
      }
    }
    return claims;
  }

  /**
   * Priority, then work within a guarantee, then the team with the least share, then the oldest.
   */
  private Comparator<Job> order(double now) {
    return Comparator.<Job, Priority>comparing(j -> j.spec.priority())
        .thenComparing(j -> !guaranteed(j))
        .thenComparingDouble(this::share)
        .thenComparing(j -> stepBack.contains(j))
        .thenComparingInt(j -> missed(j, now))
        .thenComparingInt(j -> lump(j))
        .thenComparingDouble(this::due);
  }

  /** How many of its class's wanted waiting times are over: what can still be met goes first. */
  private int missed(Job j, double now) {
    int n = 0;
    double waited = now - j.submittedAt;
    double last = 0;
    for (double w : world.policy.waitSteps().getOrDefault(j.spec.jobClass(), List.of())) {
      n += waited > w ? 1 : 0;
      last = w;
    }
    // Others must not pass it for ever.
    return waited > last * Constants.PASSED_STEPS ? 0 : n;
  }

  /** Of jobs that should start soon, the smaller first: more of them do. */
  private int lump(Job j) {
    boolean soon = !j.spec.isService() && world.policy.waits().containsKey(j.spec.jobClass());
    return soon ? j.open.cardinality() : 0;
  }

  private boolean guaranteed(Job j) {
    return world.withinGuarantee(j.spec.team(), Room.of(j.spec));
  }

  private double share(Job j) {
    Team t = world.policy.team(j.spec.team());
    double base = t == null || t.cpus() <= 0 ? 1 : t.cpus();
    // Rounded, so that teams with about the same share are served by age.
    return Math.round(4 * world.use(j.spec.team()).cpus() / base) / 4.0;
  }

  private double due(Job j) {
    double d = j.spec.deadlineS() == null ? 0 : j.spec.deadlineS() * 1000;
    return j.spec.submittedMs() + d;
  }

  private void place(Job j, List<Machine> usable, List<Claim> claims, double now) {
    if (j.notBefore > now) {
      j.waitReason = "backing off after failures";
      return;
    }
    Room need = Room.of(j.spec);
    List<Machine> fit = new ArrayList<>();
    for (Machine m : usable) {
      if (allowed(j, m) && m.free().holds(need)) {
        fit.add(m);
      }
    }
    int placed = 0;
    for (int t = j.open.nextSetBit(0); t >= 0; t = j.open.nextSetBit(t + 1)) {
      Job.Slice slice = j.slices.get(j.spec.sliceOf(t));
      if (slice != null && slice.inFlight) {
        j.waitReason = "a change of its slice is being committed";
        // Skip to the next slice.
        t = (j.spec.sliceOf(t) + 1) * j.spec.sliceCap() - 1;
        continue;
      }
      if (!world.withinLimit(j.spec.team(), need)) {
        j.waitReason = "team " + j.spec.team() + " is at its limit";
        return;
      }
      fit.removeIf(m -> !m.free().holds(need));
      Machine m = pick(j, fit);
      if (m != null && !m.warm(j.spec.image()) && warmRoomCanBeMade(j, need, usable, now)) {
        j.waitReason = "room is being made where its image is";
        return;
      }
      if (m == null) {
        j.waitReason = usable.isEmpty() ? "no machine reports" : "no room on an allowed machine";
        return;
      }
      Job.Slice s = j.slice(j.spec.sliceOf(t));
      int attempt = s.record.attempt(t - s.base) + 1;
      Claim c = new Claim(j, t, attempt, m.name, m.session, now);
      world.add(c, now);
      claims.add(c);
      if (++placed >= j.spec.sliceCap()) {
        j.waitReason = "slice cap of a round";
        return;
      }
    }
  }

  /**
   * True if the job should start sooner than its image can be fetched, and work that it may stop
   * stands on a machine that has the image. Only for a moment: after that any room will do.
   */
  private boolean warmRoomCanBeMade(Job j, Room need, List<Machine> usable, double now) {
    Double wait = world.policy.waits().get(j.spec.jobClass());
    if (wait == null || now - j.waitingSince > wait) {
      return false;
    }
    for (Machine m : usable) {
      MachineType t = world.types.get(m.type);
      if (t != null
          && t.fetchGbPerS() > 0
          && j.spec.imageGb() / t.fetchGbPerS() > wait
          && m.warm(j.spec.image())
          && allowed(j, m)
          && zoneAllowed(j, m.zone)
          && canMakeRoom(j, m, need)) {
        return true;
      }
    }
    return false;
  }

  /** True if room is on its way on the machine, or can be made at little loss. */
  private static boolean canMakeRoom(Job j, Machine m, Room need) {
    Room room = m.free();
    for (Claim c : m.claims.values()) {
      boolean comes = c.stopAsked || c.phase == Claim.Phase.SETTLING;
      boolean lower = c.phase == Claim.Phase.HELD && j.spec.priority().beats(c.job.spec.priority());
      if (comes || lower) {
        room = room.plus(c.room());
      }
    }
    return room.holds(need);
  }

  /** The static part of what a job allows. */
  boolean allowed(Job j, Machine m) {
    JobSpec s = j.spec;
    return (s.types() == null || s.types().contains(m.type))
        && (s.zone() == null || s.zone().equals(m.zone))
        && (s.spot() || !m.spot)
        && !m.closing
        && !j.errorMachines.contains(m.name);
  }

  /** The part that depends on where the job's other tasks are, judged on claims. */
  private boolean zoneAllowed(Job j, String zone) {
    if (!j.spec.oneZone() && !j.spec.spread()) {
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
   * The best fit of a sample. The sample is drawn from the best stratum that has a machine: those
   * with the image first, since a fetch takes longer than anything else on the way to a start, and
   * spot machines before others where allowed, since only such work can use them.
   */
  private Machine pick(Job j, List<Machine> fit) {
    List<Machine> pool = new ArrayList<>();
    int best = Integer.MAX_VALUE;
    for (Machine m : fit) {
      if (!zoneAllowed(j, m.zone)) {
        continue;
      }
      int stratum = stratum(j, m);
      if (stratum < best) {
        best = stratum;
        pool.clear();
      }
      if (stratum == best) {
        pool.add(m);
      }
    }
    Machine chosen = null;
    double chosenLeft = 0;
    int n = Math.max(1, world.policy.tuning().sampleSize());
    for (int i = 0; i < n && !pool.isEmpty(); i++) {
      Machine m = pool.remove(random.nextInt(pool.size()));
      double left = m.free().cpus() - j.spec.cpus();
      if (chosen == null || left < chosenLeft) {
        chosen = m;
        chosenLeft = left;
      }
    }
    return chosen;
  }

  private int stratum(Job j, Machine m) {
    int cold = m.warm(j.spec.image()) ? 0 : m.fetches(j.spec.image()) ? 2 : 4;
    int dear = j.spec.spot() && !m.spot ? 1 : 0;
    return cold + dear;
  }

  /**
   * Stops work of lower priority, or work that another team runs beyond its guarantee while this
   * job is within its own, on as few machines and with as little lost as possible.
   */
  private void makeRoom(Job j, List<Machine> usable, double now) {
    Room need = Room.of(j.spec);
    int wanted = j.open.cardinality() - j.preempting;
    Room promised = Room.NONE;
    boolean mayClaimGuarantee = guaranteed(j);
    while (wanted-- > 0) {
      promised = promised.plus(need);
      if (!world.withinLimit(j.spec.team(), promised)) {
        return;
      }
      if (!makeRoomOnce(j, need, usable, mayClaimGuarantee, promised, now)) {
        return;
      }
    }
  }

  private boolean makeRoomOnce(
      Job j, Room need, List<Machine> usable, boolean guarantee, Room promised, double now) {
    boolean within = guarantee && world.withinGuarantee(j.spec.team(), promised);
    List<Claim> bestSet = null;
    double bestCost = Double.MAX_VALUE;
    for (Machine m : usable) {
      if (!allowed(j, m) || !zoneAllowed(j, m.zone)) {
        continue;
      }
      List<Claim> victims = victims(j, m, need, within, now);
      if (victims == null) {
        continue;
      }
      double cost = m.warm(j.spec.image()) ? 0 : Constants.COLD_COST_S;
      for (Claim c : victims) {
        cost += lost(c, now);
      }
      if (cost < bestCost) {
        bestCost = cost;
        bestSet = victims;
      }
    }
    if (bestSet == null) {
      return false;
    }
    boolean first = true;
    Double wait = world.policy.waits().get(j.spec.jobClass());
    for (Claim c : bestSet) {
      boolean hurry =
          j.spec.priority().beats(c.job.spec.priority())
              && wait != null
              && wait < c.job.spec.saveS() + 1;
      c.stopAsked = true;
      stopping.merge(c.job.spec.team(), c.room(), Room::plus);
      c.stopAskedAt = now;
      c.hardStop = hurry;
      if (first) {
        c.madeFor = j;
        j.preempting++;
        first = false;
      }
      world.note(
          "preempt "
              + c.taskId()
              + " attempt "
              + c.attempt
              + " on "
              + c.machine
              + " for "
              + j.spec.id());
    }
    return true;
  }

  /** Run time that is lost when a claim is stopped. */
  private static double lost(Claim c, double now) {
    if (c.stage != Report.Stage.RUNNING) {
      return 0.5;
    }
    double ran = now - c.stageSince;
    double every = c.job.spec.checkpointS();
    return (every > 0 ? ran % every : ran) * c.job.spec.cpus() / 4 + 1;
  }

  /** The cheapest claims whose end makes room on the machine, or null if that is not possible. */
  private List<Claim> victims(Job j, Machine m, Room need, boolean within, double now) {
    Room free = m.free();
    List<Claim> can = new ArrayList<>();
    for (Claim c : m.claims.values()) {
      if (c.stopAsked || c.phase == Claim.Phase.SETTLING) {
        // Its room comes back soon, but it is promised to whom it was stopped for, if anybody.
        if (c.madeFor == null) {
          free = free.plus(c.room());
        }
        continue;
      }
      if (c.phase != Claim.Phase.HELD) {
        continue;
      }
      JobSpec v = c.job.spec;
      boolean lower = j.spec.priority().beats(v.priority());
      Room gone = stopping.getOrDefault(v.team(), Room.NONE).plus(c.room());
      boolean borrowed =
          within
              && !v.team().equals(j.spec.team())
              && !v.isService()
              && world.beyondGuarantee(v.team(), gone);
      if (lower || borrowed) {
        can.add(c);
      }
    }
    if (free.holds(need)) {
      return null; // Room is on its way already.
    }
    can.sort(
        Comparator.<Claim, Priority>comparing(c -> c.job.spec.priority())
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
}

package graderelay.core;

import graderelay.constants.Constants;
import graderelay.quota.Obstacle;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Sampled rounds: each waiting task takes the best fit of a few machines drawn from those that
 * report, and where there is no room, work that may be stopped for it is stopped.
 */
final class Placer {
  private final ClusterState world;
  private final RandomGenerator random;

  /** Jobs that wait for others of their team, see {@link Deadlines}. */
  private Set<Job> stepBack = Set.of();

  /** What each team is about to lose already, so that nobody is pushed below its guarantee. */
  private final Map<String, Resources> stopping = new HashMap<>();

  Placer(ClusterState world, RandomGenerator random) {
    this.world = world;
    this.random = random;
  }

  private double roundAt;

  /** Whether what a priority outranks is little, worked out once a round. */
  private final Map<Priority, Boolean> littleBelow = new EnumMap<>(Priority.class);

  /** Jobs that can wait for room beyond their guarantee, see {@link Deadlines}. */
  private Set<Job> atLeisure = Set.of();

  /** What the last plan found of the jobs that wait. */
  void planned(Set<Job> steppingBack, Set<Job> waitingAtLeisure) {
    stepBack = steppingBack;
    atLeisure = waitingAtLeisure;
  }

  /**
   * Places what can be placed and returns the new claims, counted but not committed yet.
   *
   * @param changes records that arrays may change in this round; services may go beyond it
   */
  List<Claim> round(int changes, double now) {
    roundAt = now;
    List<Claim> claims = new ArrayList<>();
    List<QueueEntry> waiting = new ArrayList<>();
    worthOfDue = worthOfDue(now);
    for (Job j : world.jobs.values()) {
      if (j.waiting() && !(j.noRoomAt == world.roomVersion && now - j.noRoomSince < PAUSE)) {
        waiting.add(new QueueEntry(j, now));
      }
    }
    if (waiting.isEmpty()) {
      return claims;
    }
    List<Machine> usable = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (world.usable(m, now)) {
        usable.add(m);
      }
    }
    world.looked += world.machines.size();
    waiting.sort(null);
    keepLimits(now);
    int left = changes;
    reserve(waiting);
    List<Machine> roomy = withRoom(usable, waiting);
    for (QueueEntry k : waiting) {
      // On a fleet that work above it fills, a guest's job would not begin at all.
      if (k.job.neverBegan() && now - k.job.submittedAt > Constants.MUST_BEGIN_S) {
        left -= place(k.job, usable, roomy, false, 1, claims, now);
      }
    }
    for (int from = 0, to; from < waiting.size(); from = to) {
      to = from + 1;
      while (to < waiting.size() && waiting.get(from).ranksWith(waiting.get(to))) {
        to++;
      }
      // Of arrays with the same claim to room, first those whose image is there already: on a full
      // fleet, slots come back a few at a time, and each fetch leaves one idle.
      // One that ranks alone takes the best machines first anyway.
      boolean alone = to - from == 1;
      for (boolean warmOnly : alone ? new boolean[] {false} : new boolean[] {true, false}) {
        for (QueueEntry k : waiting.subList(from, to)) {
          boolean service = k.job.spec.isService();
          if (service && !warmOnly && !alone) {
            continue; // Placed by the first pass, wherever there was room.
          }
          boolean may = left > 0 || service;
          int most = Math.min(k.job.spec.sliceCap(), unreserved(k.job, usable, claims));
          left -= may ? place(k.job, usable, roomy, warmOnly && !service, most, claims, now) : 0;
          if (!may) {
            k.job.waitReason = "changes of the state service are used up for the moment";
          }
        }
      }
    }
    littleBelow.clear();
    fruitless.clear();
    stopping.clear();
    for (Claim c : world.stopping) {
      stopping.merge(c.job.spec.team(), c.room(), Resources::plus);
    }
    for (QueueEntry k : waiting) {
      Job j = k.job;
      if (!j.open.isEmpty() && j.notBefore <= now) {
        makeRoom(j, usable, now);
      }
    }
    return claims;
  }

  private static final double PAUSE = Constants.NO_ROOM_PAUSE_S;

  /** By team, the job for whose first task room is kept below the team's stored limit. */
  private final Map<String, Job> limitKept = new HashMap<>();

  /**
   * A job as large as its team's limit would never begin beside a stream of small ones, each of
   * which takes what the last one gave back.
   */
  private void keepLimits(double now) {
    limitKept.clear();
    if (!world.admission.enabled()) {
      return;
    }
    for (Job j : world.jobs.values()) {
      if (j.waiting() && waitingWins(j, now) && world.admission.allows(j.spec.team(), j.amount)) {
        limitKept.merge(j.spec.team(), j, Placer::goesBefore);
      }
    }
  }

  private static Job goesBefore(Job a, Job b) {
    int order = a.priority().compareTo(b.priority());
    boolean first = order != 0 ? order < 0 : a.submittedAt <= b.submittedAt;
    return first ? a : b;
  }

  /** True if the team's limit has room for one more task beside what is kept below it. */
  private boolean limitAllows(Job j) {
    Job kept = limitKept.get(j.spec.team());
    boolean keeps = kept != null && kept != j && !j.priority().beats(kept.priority());
    return world.withinLimit(j.spec.team(), keeps ? j.need.plus(kept.need) : j.need);
  }

  private String limitReason(Job j) {
    String team = j.spec.team();
    if (!world.admission.allows(team, j.amount)) {
      return "a task needs " + j.amount + ", which the stored limits of team " + team + " forbid";
    }
    return "team " + team + " is at its limit";
  }

  /** True if nothing of the job's team may be claimed at the moment. */
  private boolean obstructed(Job j) {
    Obstacle obstacle = world.admission.obstacle(j.spec.team());
    if (obstacle == null) {
      return false;
    }
    if (obstacle.passing()) {
      world.admission.wantSettled(j.spec.team());
    }
    j.waitReason = obstacle.reason();
    return true;
  }

  /**
   * The machines on which the smallest task that waits may fit. Room only shrinks while a round
   * places, so nobody finds any on the others; on a busy fleet those are most, and each job that
   * waits would look at every one of them.
   */
  private List<Machine> withRoom(List<Machine> usable, List<QueueEntry> waiting) {
    double least = Double.MAX_VALUE;
    for (QueueEntry k : waiting) {
      least = Math.min(least, k.job.need.cpus());
    }
    double smallest = least - Resources.SLACK;
    List<Machine> roomy = new ArrayList<>();
    for (Machine m : usable) {
      if (m.room.cpus() - m.used.cpus() >= smallest) {
        roomy.add(m);
      }
    }
    return roomy;
  }

  /**
   * A job with its place in the queue: priority, then what has waited so long that waiting wins,
   * then work within a guarantee, then the team with the least share, then the oldest. Worked out
   * once a round, since a comparison that sums is called many times.
   */
  private final class QueueEntry implements Comparable<QueueEntry> {
    final Job job;
    final boolean patientEnough;
    final boolean beyond;
    final double share;
    final boolean back;
    final double worth;
    final double due;

    QueueEntry(Job j, double now) {
      job = j;
      // Neither smaller nor newer jobs, nor other teams, may pass a job for ever.
      patientEnough = !waitingWins(j, now);
      beyond = !guaranteed(j);
      share = share(j);
      back = stepBack.contains(j);
      worth = worth(j, now);
      due = patientEnough ? due(j) : j.submittedAt;
    }

    /**
     * True if neither has a claim to room before the other but by order. Deadlines do: what is due
     * first must not wait for a slot with its image.
     */
    boolean ranksWith(QueueEntry o) {
      return job.priority() == o.job.priority()
          && patientEnough
          && o.patientEnough
          && beyond == o.beyond
          && !job.hasDue()
          && !o.job.hasDue();
    }

    @Override
    public int compareTo(QueueEntry o) {
      int c = job.priority().compareTo(o.job.priority());
      c = c != 0 ? c : Boolean.compare(patientEnough, o.patientEnough);
      if (c == 0 && patientEnough) {
        c = Boolean.compare(beyond, o.beyond);
        c = c != 0 ? c : Double.compare(share, o.share);
        c = c != 0 ? c : Boolean.compare(back, o.back);
        c = c != 0 ? c : Double.compare(o.worth, worth);
      }
      return c != 0 ? c : Double.compare(due, o.due);
    }
  }

  /**
   * True for a job that has waited so long without a single task begun that it goes before all
   * others of its priority: the largest jobs must begin as well.
   */
  static boolean waitingWins(Job j, double now) {
    return j.neverBegan() && now - j.submittedAt > Constants.WAITING_WINS_S;
  }

  /**
   * What one more start of an array's task is worth to what its class's aims count. They count each
   * job once, however large, so a task of a small job weighs more; a wanted waiting time that is
   * over can't be met any more, and a wanted time to the end only by what is still open. Where
   * everything asked for can't be done in time, this keeps as many jobs as possible in time.
   */
  private double worth(Job j, double now) {
    JobSpec s = j.spec;
    List<Double> steps = world.policy.waitSteps().getOrDefault(s.jobClass(), List.of());
    if (!s.isService() && j.hasDue()) {
      return worthOfDue.getOrDefault(j.priority(), 0.0);
    }
    if (s.isService() || steps.isEmpty()) {
      return 0;
    }
    double waited = now - j.submittedAt;
    double last = steps.get(steps.size() - 1);
    int left = 0;
    for (double w : steps) {
      left += waited <= w ? 1 : 0;
    }
    // Others must not pass it for ever.
    left = waited > last * Constants.PASSED_STEPS ? 1 : left;
    double worth = left / (double) s.tasks();
    Double whole = world.policy.finishes().get(s.jobClass());
    if (whole != null && waited + s.estimateS() <= whole) {
      worth += 1.0 / Math.max(1, j.open.cardinality());
    }
    return worth;
  }

  /** What a start of an array that is due is worth at each priority, worked out once a round. */
  private Map<Priority, Double> worthOfDue = Map.of();

  /**
   * What is due goes by when it is due, so all of it at one priority has one place beside what has
   * wanted waits instead: as many jobs as can still be in time over their open tasks. Without that,
   * a burst of jobs with wanted waits lets everything that is due come too late.
   */
  private Map<Priority, Double> worthOfDue(double now) {
    Map<Priority, Integer> jobs = new EnumMap<>(Priority.class);
    Map<Priority, Integer> tasks = new EnumMap<>(Priority.class);
    for (Job j : world.jobs.values()) {
      if (j.waiting() && !j.spec.isService() && j.hasDue() && now < j.dueAt()) {
        jobs.merge(j.priority(), 1, Integer::sum);
        tasks.merge(j.priority(), j.open.cardinality(), Integer::sum);
      }
    }
    Map<Priority, Double> worth = new EnumMap<>(Priority.class);
    jobs.forEach((priority, n) -> worth.put(priority, n / (double) tasks.get(priority)));
    return worth;
  }

  private boolean guaranteed(Job j) {
    return world.withinGuarantee(j.spec.team(), j.need);
  }

  private double share(Job j) {
    Team t = world.policy.team(j.spec.team());
    double base = t == null || t.cpus() <= 0 ? 1 : t.cpus();
    // Rounded, so that teams with about the same share are served by age.
    return Math.round(4 * world.use(j.spec.team()).cpus() / base) / 4.0;
  }

  private double due(Job j) {
    return j.hasDue() ? j.dueAt() : j.submittedAt;
  }

  /**
   * Places what it can of one job and returns how many records that changes.
   *
   * @param usable all machines that may be given tasks
   * @param roomy those of them that may have room
   */
  private int place(
      Job j,
      List<Machine> usable,
      List<Machine> roomy,
      boolean warmOnly,
      int most,
      List<Claim> claims,
      double now) {
    if (j.notBefore > now) {
      j.waitReason =
          j.suspect
              ? "it fails on every machine (" + j.failedOn.size() + "); tried again later"
              : "backing off after failures";
      return 0;
    }
    if (obstructed(j)) {
      return 0;
    }
    if (most <= 0) {
      j.waitReason = "room is kept for work above it";
      j.noRoomAt = world.roomVersion;
      j.noRoomSince = now;
      return 0;
    }
    if (j.claims.size() >= mostTried(j)) {
      j.waitReason = "a few of its tasks are tried first, since it may fail on every machine";
      return 0;
    }
    Strata fit = null;
    int placed = 0;
    int changed = 0;
    Job.Slice last = null;
    for (int t = j.open.nextSetBit(0); t >= 0; t = j.open.nextSetBit(t + 1)) {
      Job.Slice slice = j.slices.get(j.spec.sliceOf(t));
      if (slice != null && (slice.inFlight || slice.fullUntil > now)) {
        j.waitReason =
            slice.inFlight
                ? "a change of its slice is being committed"
                : "its record is as large as the state service allows";
        // Skip to the next slice.
        t = (j.spec.sliceOf(t) + 1) * j.spec.sliceCap() - 1;
        continue;
      }
      if (!limitAllows(j)) {
        j.waitReason = limitReason(j);
        return changed;
      }
      if (fit == null) {
        fit = new Strata(j, roomy, warmOnly);
      }
      Machine m = fit.pick();
      if (m != null && !m.warm(j.spec.image()) && fit.warmRoomCanBeMade(usable, now)) {
        j.waitReason = "room is being made where its image is";
        return changed;
      }
      if (m == null && warmOnly) {
        return changed;
      }
      if (m == null) {
        j.waitReason = usable.isEmpty() ? "no machine reports" : "no room on an allowed machine";
        j.noRoomAt = world.roomVersion;
        j.noRoomSince = now;
        return changed;
      }
      Job.Slice s = j.slice(j.spec.sliceOf(t));
      int attempt = s.record.attempt(t - s.base) + 1;
      Claim c = new Claim(j, t, attempt, m.name, m.session, now);
      world.add(c, now);
      claims.add(c);
      changed += s == last ? 0 : 1;
      last = s;
      if (j.claims.size() >= mostTried(j)) {
        return changed;
      }
      if (++placed >= most) {
        j.waitReason = "slice cap of a round";
        return changed;
      }
    }
    return changed;
  }

  /** CPUs that tasks of each priority will take as soon as a change of theirs has committed. */
  private final Map<Priority, Double> reserved = new EnumMap<>(Priority.class);

  /** CPUs that usable machines had free when this round began, once somebody has asked. */
  private double freeCpus;

  /**
   * Keeps room for tasks that can't be claimed yet, since a change of their record is on its way.
   * Lower work would take it meanwhile and be stopped for them a moment later, and again: on a full
   * fleet an array of a hundred thousand small tasks was stopped half a million times.
   */
  private void reserve(List<QueueEntry> waiting) {
    reserved.clear();
    freeCpus = Double.NaN;
    Priority lowest = waiting.get(waiting.size() - 1).job.priority();
    for (QueueEntry k : waiting) {
      JobSpec s = k.job.spec;
      if (k.job.priority().beats(lowest) && k.job.notBefore <= roundAt) {
        // Not for what its team's limit keeps from running in any case.
        double cpus = Math.min(blocked(k.job) * s.cpus(), world.cpusLeft(s.team()));
        if (cpus > 0) {
          reserved.merge(k.job.priority(), cpus, Double::sum);
        }
      }
    }
  }

  /** Open tasks of the job whose record, or team's account, is being changed. */
  private int blocked(Job j) {
    if (world.admission.isPassing(j.spec.team())) {
      return j.open.cardinality();
    }
    int n = 0;
    for (Job.Slice s : j.slices.values()) {
      n += s.inFlight ? j.open.get(s.base, s.base + s.record.size()).cardinality() : 0;
    }
    return n;
  }

  /** How many tasks of the job fit beside what is kept for work above it. */
  private int unreserved(Job j, List<Machine> usable, List<Claim> claims) {
    double kept = 0;
    for (var e : reserved.entrySet()) {
      kept += e.getKey().beats(j.priority()) ? e.getValue() : 0;
    }
    if (kept == 0 || j.spec.cpus() <= 0) {
      return Integer.MAX_VALUE;
    }
    if (Double.isNaN(freeCpus)) {
      freeCpus = 0;
      world.looked += usable.size();
      for (Machine m : usable) {
        freeCpus += m.room.cpus() - m.used.cpus();
      }
      countedClaims = claims.size();
    }
    for (; countedClaims < claims.size(); countedClaims++) {
      freeCpus -= claims.get(countedClaims).room().cpus();
    }
    return (int) Math.max(0, Math.min(Integer.MAX_VALUE, (freeCpus - kept) / j.spec.cpus()));
  }

  private int countedClaims;

  /**
   * The machines that have room for a task of one job, by how good they are for it, best first:
   * those with the image, since a fetch takes longer than anything else on the way to a start, and
   * spot machines before others where allowed, since only such work can use them. Sorted once a
   * round, so that many tasks of a job cost little more than one.
   */
  private final class Strata {
    private static final int COLD = 4;
    private static final int COUNT = COLD + 2;
    private final Job job;
    private final boolean zoned;
    private final List<List<Machine>> by = new ArrayList<>();
    private Boolean canBeMade;

    Strata(Job j, List<Machine> roomy, boolean warmOnly) {
      job = j;
      zoned = j.spec.oneZone() || j.spec.spread();
      for (int i = 0; i < COUNT; i++) {
        by.add(new ArrayList<>());
      }
      for (Machine m : roomy) {
        if (m.holds(j.need) && allowed(j, m)) {
          int stratum = stratum(j, m);
          if (!warmOnly || stratum < COLD) {
            by.get(stratum).add(m);
          }
        }
      }
      world.looked += roomy.size();
    }

    /** The best fit of a sample from the best stratum that has a machine, or null. */
    Machine pick() {
      for (List<Machine> pool : by) {
        if (zoned && !pool.isEmpty()) {
          List<Machine> here = new ArrayList<>(pool);
          here.removeIf(m -> !zoneAllowed(job, m.zone));
          world.looked += pool.size();
          Machine m = sample(here);
          if (m != null) {
            return m;
          }
        } else {
          Machine m = sample(pool);
          if (m != null) {
            return m;
          }
        }
      }
      return null;
    }

    /** Draws without putting back; machines that are full by now are dropped from the pool. */
    private Machine sample(List<Machine> pool) {
      Machine chosen = null;
      double chosenLeft = 0;
      int n = Math.max(1, world.policy.tuning().sampleSize());
      int active = pool.size();
      while (n > 0 && active > 0) {
        int i = random.nextInt(active);
        Machine m = pool.get(i);
        active--;
        pool.set(i, pool.get(active));
        world.looked++;
        if (!m.holds(job.need)) {
          pool.set(active, pool.get(pool.size() - 1));
          pool.remove(pool.size() - 1);
          continue;
        }
        pool.set(active, m);
        n--;
        double left = m.room.cpus() - m.used.cpus() - job.spec.cpus();
        if (chosen == null || left < chosenLeft) {
          chosen = m;
          chosenLeft = left;
        }
      }
      return chosen;
    }

    /**
     * True if the job should start sooner than its image can be fetched, and work that it may stop
     * stands on a machine that has the image. Only for a moment: after that any room will do.
     */
    boolean warmRoomCanBeMade(List<Machine> usable, double now) {
      if (canBeMade == null) {
        canBeMade = warmRoom(job, usable, now);
      }
      return canBeMade;
    }
  }

  private boolean warmRoom(Job j, List<Machine> usable, double now) {
    Double wait = world.policy.waits().get(j.spec.jobClass());
    if (wait == null || now - j.waitingSince > wait) {
      return false;
    }
    world.looked += usable.size();
    for (Machine m : usable) {
      MachineType t = world.types.get(m.type);
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
    return j.failedOn.contains(m.name) && j.failedOn.size() * 2 < world.machines.size();
  }

  /** Tasks that may be claimed at once of a job that may be at fault: a look costs little. */
  private int mostTried(Job j) {
    return j.suspect ? 1 : j.unsure ? world.policy.tuning().attemptCap() : Integer.MAX_VALUE;
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

  private static int stratum(Job j, Machine m) {
    int cold = m.warm(j.spec.image()) ? 0 : m.fetches(j.spec.image()) ? 2 : 4;
    int dear = j.spec.spot() && !m.spot ? 1 : 0;
    return cold + dear;
  }

  /**
   * Stops work of lower priority, or work that another team runs beyond its guarantee while this
   * job is within its own, on as few machines and with as little lost as possible.
   */
  private void makeRoom(Job j, List<Machine> usable, double now) {
    // What only waits for a change of its record may find room already.
    int open = j.open.cardinality() - blocked(j);
    int wanted = Math.min(open, mostTried(j) - j.claims.size()) - j.preempting;
    boolean guaranteed = guaranteed(j);
    if (wanted <= 0 || !(guaranteed || world.byPriority.hasBelow(j.priority()))) {
      return;
    }
    if (world.admission.isStopped(j.spec.team()) || !limitAllows(j)) {
      return;
    }
    if (!guaranteed && atLeisure.contains(j)) {
      // Each task of it may cost dozens of small ones their work, and two changes each.
      return;
    }
    boolean zoned = j.spec.oneZone() || j.spec.spread();
    Demand demand = Demand.of(j);
    if (fruitless.contains(demand) || spares(j, guaranteed, usable, now)) {
      return;
    }
    boolean any = false;
    Resources promised = Resources.NONE;
    boolean within = false;
    PriorityQueue<Offer> offers = null;
    while (wanted-- > 0) {
      promised = promised.plus(j.need);
      if (!world.withinLimit(j.spec.team(), promised)) {
        return;
      }
      boolean still = guaranteed && world.withinGuarantee(j.spec.team(), promised);
      if (offers == null || still != within) {
        within = still;
        offers = offers(j, usable, within, now);
      }
      Offer best = null;
      while (best == null && !offers.isEmpty()) {
        Offer o = offers.poll();
        if (zoned && !zoneAllowed(j, o.machine().zone)) {
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

  /**
   * Demands for which no room can be made in this round. A thousand jobs that wait differ in little
   * else than their names, and each would look at every machine and its claims.
   */
  private final Set<Demand> fruitless = new HashSet<>();

  /** What it would take to make room on one machine. */
  private record Offer(Machine machine, List<Claim> victims, double cost) {}

  /**
   * True if what the job outranks is so little that it is spared: on a full fleet, a swarm of small
   * long tasks was stopped again and again, dozens for each start, got nothing done in minutes, and
   * every stop is two more changes of the state service. An array takes the next room instead.
   */
  private boolean spares(Job j, boolean guaranteed, List<Machine> usable, double now) {
    return !guaranteed
        && !j.spec.isService()
        && !waitingWins(j, now)
        && littleBelow.computeIfAbsent(j.priority(), p -> littleBelow(p, usable));
  }

  private boolean littleBelow(Priority priority, List<Machine> usable) {
    double all = 0;
    for (Machine m : usable) {
      all += m.room.cpus();
    }
    double below = 0;
    for (Job o : world.jobs.values()) {
      if (priority.beats(o.priority())) {
        below += o.claims.size() * o.spec.cpus();
      }
    }
    world.looked += usable.size();
    return below <= all * Constants.SPARED_SHARE;
  }

  private PriorityQueue<Offer> offers(Job j, List<Machine> usable, boolean within, double now) {
    PriorityQueue<Offer> offers = new PriorityQueue<>(Comparator.comparingDouble(Offer::cost));
    world.looked += usable.size();
    for (Machine m : usable) {
      boolean any = within ? !m.claims.isEmpty() : m.byPriority.hasBelow(j.priority());
      if (any && allowed(j, m) && zoneAllowed(j, m.zone)) {
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
    double cost = m.warm(j.spec.image()) ? 0 : Constants.COLD_COST_S;
    for (Claim c : victims) {
      cost += lost(c, now) + Constants.STOP_COST_S;
    }
    return new Offer(m, victims, cost);
  }

  private void stop(List<Claim> victims, Job j, double now) {
    boolean first = true;
    Double wait = world.policy.waits().get(j.spec.jobClass());
    for (Claim c : victims) {
      boolean hurry =
          j.priority().beats(c.priority)
              && wait != null
              && wait < c.job.spec.saveS() + Constants.HURRY_S;
      world.askStop(c, now);
      stopping.merge(c.job.spec.team(), c.room(), Resources::plus);
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
  }

  /** Run time that is lost when a claim is stopped. */
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
    world.looked += m.claims.size();
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
      boolean lower = j.priority().beats(c.priority);
      Resources gone = stopping.getOrDefault(v.team(), Resources.NONE).plus(c.room());
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
}

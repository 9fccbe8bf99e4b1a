package graderelay.core;

import graderelay.constants.Constants;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Sizes the fleet: what to rent for the work that waits, and what to give back. */
final class FleetPlanner {
  /** One kind of machine that can be rented. */
  record Pool(String type, String zone, boolean spot) {}

  private static final class Hiring {
    final Pool pool;
    int count;
    final double since;

    Hiring(Pool pool, int count, double since) {
      this.pool = pool;
      this.count = count;
      this.since = since;
    }
  }

  private static final class Refusal {
    double until;
    double pause = Constants.EMPTY_POOL_PAUSE_S;
  }

  /** A bin of the plan: a machine that is there, is coming, or would be rented. */
  private static final class Bin {
    final Machine machine;
    final Pool pool;
    Resources free;

    /** Tasks that it may still take, whatever their size. */
    int places;

    /** What arrays of lower priority would make room for services. */
    Resources yielding = Resources.NONE;

    Bin(Machine machine, Pool pool, Resources free) {
      this.machine = machine;
      this.pool = pool;
      this.free = free;
      this.places = Constants.MOST_ON_MACHINE - (machine == null ? 0 : machine.claims.size());
    }
  }

  /** How many more tasks each zone may take, for work that has to be spread. */
  private static final class ZoneRoom {
    private final Map<String, Integer> taken = new HashMap<>();
    private final int most;

    ZoneRoom(int most, Map<String, Integer> claims) {
      this.most = most;
      taken.putAll(claims);
    }

    int left(String zone) {
      return Math.max(0, most - taken.getOrDefault(zone, 0));
    }

    void take(String zone, int n) {
      taken.merge(zone, n, Integer::sum);
    }

    /** For a job, or null if any zone may take all of it. */
    static ZoneRoom of(Job j) {
      return j.spec.spread() ? new ZoneRoom(j.spec.zoneLimit(), j.zoneClaims) : null;
    }

    /** For spare room that such work will want half of in each of two zones. */
    static ZoneRoom of(JobSpec s, int n) {
      return s.spread() ? new ZoneRoom((n + 1) / 2, Map.of()) : null;
    }
  }

  private record Arrival(double at, JobSpec spec, int tasks) {}

  private final ClusterState world;
  private final Map<Long, Hiring> hiring = new HashMap<>();
  private final Map<Pool, Refusal> refused = new HashMap<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private long nextHire = 1;
  private final double startedAt;

  private final Deadlines deadlines;
  private double lastMove = Double.NEGATIVE_INFINITY;

  private final BootTimes boots;

  FleetPlanner(ClusterState world, double now) {
    this.world = world;
    this.boots = new BootTimes(world, now);
    this.deadlines = new Deadlines(world);
    this.startedAt = now;
  }

  void onArrival(JobSpec spec, double at) {
    arrivals.add(new Arrival(at, spec, spec.tasks()));
    newArrivals = true;
  }

  /** What an earlier owner remembered; jobs that are still live were counted already. */
  void onDemand(Action.Demand d, double now) {
    List<Arrival> live = new ArrayList<>();
    for (Arrival a : arrivals) {
      if (a.spec().jobClass().equals(d.latest().jobClass())) {
        live.add(a);
      }
    }
    for (double[] a : d.arrivals()) {
      double at = now - a[0];
      boolean known =
          live.stream().anyMatch(x -> Math.abs(x.at() - at) < 0.5 && x.tasks() == (int) a[1]);
      if (!known) {
        arrivals.add(new Arrival(at, d.latest(), (int) a[1]));
      }
    }
  }

  private boolean newArrivals;
  private double lastKept = Double.NEGATIVE_INFINITY;

  private void keepDemand(double now) {
    if (!newArrivals || now - lastKept < Constants.KEEP_DEMAND_EVERY_S) {
      return;
    }
    lastKept = now;
    newArrivals = false;
    Map<String, Action.Demand> classes = new HashMap<>();
    for (int i = arrivals.size() - 1; i >= 0; i--) {
      Arrival a = arrivals.get(i);
      Action.Demand d =
          classes.computeIfAbsent(
              a.spec().jobClass(), c -> new Action.Demand(a.spec(), new ArrayList<>()));
      if (d.arrivals().size() < Constants.KEPT_ARRIVALS_PER_THOUSAND * thousands()) {
        d.arrivals().add(new double[] {now - a.at(), a.tasks()});
      }
      if (classes.size() > Constants.KEPT_CLASSES) {
        break;
      }
    }
    world.out.add(new Action.KeepDemand(List.copyOf(classes.values())));
  }

  /** A machine has reported for the first time. */
  void onUp(Machine m, double now) {
    if (m.booting) {
      boots.up(m, now);
    }
  }

  /** A job fails on every machine: it is no sign of what is to come, nor does it rent. */
  void onBroken(JobSpec spec) {
    arrivals.removeIf(a -> a.spec().id().equals(spec.id()));
    newArrivals = true;
  }

  /** Expected run time of a task. */
  double estimate(JobSpec s) {
    return deadlines.estimate(s);
  }

  void onRan(JobSpec spec, double seconds) {
    deadlines.onRan(spec, seconds);
  }

  void onHired(long id, List<String> names, boolean noCapacity, double now) {
    Hiring h = hiring.remove(id);
    if (h == null) {
      return;
    }
    if (noCapacity || (names != null && names.size() < h.count)) {
      Refusal r = refused.computeIfAbsent(h.pool, p -> new Refusal());
      r.until = now + r.pause;
      r.pause = Math.min(Constants.LONGEST_EMPTY_POOL_PAUSE_S, r.pause * 2);
    } else if (names != null) {
      refused.remove(h.pool);
    }
    if (names == null) {
      return;
    }
    for (String n : names) {
      Machine m = world.machine(n, now);
      if (!m.reported) {
        world.locate(m, h.pool.type(), h.pool.zone(), h.pool.spot());
        m.rentedAt = h.since;
        m.booting = true;
      }
    }
  }

  /** Jobs that step back for others of their team, as of the last plan. */
  Set<Job> steppingBack() {
    return stepBack;
  }

  private Set<Job> stepBack = Set.of();

  /** Jobs that wait without harm as yet, as of the last plan. */
  Set<Job> atLeisure() {
    return atLeisure;
  }

  private Set<Job> atLeisure = Set.of();

  void plan(double now) {
    if (world.types.isEmpty()) {
      return;
    }
    arrivals.removeIf(a -> a.at() < now - Constants.ARRIVAL_MEMORY_S);
    boots.plan(now);
    List<Bin> bins = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (m.returning || m.drain || m.cordoned || m.noticeAt != null || m.leaseOver) {
        continue;
      }
      if (!m.reported && (m.type == null || !boots.likely(m, now))) {
        continue;
      }
      if (now < m.quarantineUntil) {
        continue;
      }
      Bin b = new Bin(m, new Pool(m.type, m.zone, m.spot), m.free());
      for (Claim c : m.claims.values()) {
        if (!c.job.spec.isService() && Priority.PROD.beats(c.priority)) {
          b.yielding = b.yielding.plus(c.room());
        }
      }
      bins.add(b);
    }
    for (Hiring h : hiring.values()) {
      for (int i = 0; i < h.count; i++) {
        bins.add(new Bin(null, h.pool, Resources.of(world.types.get(h.pool.type()))));
      }
    }
    double there = cpusForArrays(bins);
    stepBack = deadlines.steppingBack(there, now);
    atLeisure = deadlines.atLeisure(now);
    // Only what teams' limits make hopeless is left out: a fleet too small for the rest is to grow.
    Set<Job> hopeless = deadlines.steppingBack(Double.MAX_VALUE, now);
    double needed = deadlines.neededCpus(hopeless, now);
    dearCpus = Math.max(0, needed - there);
    Map<Pool, Integer> wanted = new HashMap<>();
    Map<String, Double> teamLeft = new HashMap<>();
    // Services first: they can't use spot machines, and arrays make room for them.
    List<Job> waiting = new ArrayList<>();
    for (Job j : world.jobs.values()) {
      if (j.waiting() && !j.suspect) {
        waiting.add(j);
      }
    }
    waiting.sort(Comparator.comparing(j -> !j.spec.isService()));
    Set<Machine> keep = new HashSet<>();
    Map<JobSpec, Integer> spare = spare(now);
    dropFull(bins, waiting, spare.keySet());
    for (boolean services : new boolean[] {true, false}) {
      for (Job j : waiting) {
        if (j.spec.isService() == services) {
          fill(j.spec, withinLimit(j, teamLeft), ZoneRoom.of(j), bins, wanted, null, now);
        }
      }
      for (var e : spare.entrySet()) {
        if (e.getKey().isService() == services) {
          ZoneRoom zones = ZoneRoom.of(e.getKey(), e.getValue());
          fill(e.getKey(), e.getValue(), zones, bins, wanted, keep, now);
        }
      }
    }
    close(there - needed, keep, now);
    for (var e : wanted.entrySet()) {
      int n = boots.allowed(e.getKey().type(), Math.min(Constants.MOST_HIRED, e.getValue()), now);
      if (n == 0) {
        continue;
      }
      long id = nextHire++;
      hiring.put(id, new Hiring(e.getKey(), n, now));
      Pool p = e.getKey();
      world.out.add(new Action.Hire(id, p.type(), p.zone(), p.spot(), n));
    }
    giveBack(keep, now);
    keepDemand(now);
    keepImages(now);
  }

  /**
   * Takes out the machines on which not even the smallest task of the plan fits. On a busy fleet
   * these are most, and each job that waits would look at every one of them.
   */
  private static void dropFull(List<Bin> bins, List<Job> waiting, Set<JobSpec> spare) {
    double least = Double.MAX_VALUE;
    for (Job j : waiting) {
      least = Math.min(least, j.spec.cpus());
    }
    for (JobSpec s : spare) {
      least = Math.min(least, s.cpus());
    }
    double smallest = least - Resources.SLACK;
    bins.removeIf(b -> b.places <= 0 || b.free.cpus() + b.yielding.cpus() < smallest);
  }

  private double lastImages;
  private int nextImagePart;

  /** Thousands of machines, the last of which need not be full. */
  private int thousands() {
    return 1 + Math.max(0, world.machines.size() - 1) / 1000;
  }

  /**
   * Only the records of which a machine has got an image that they don't name, and at most so many
   * at a time, in turn.
   */
  private void keepImages(double now) {
    if (now - Math.max(startedAt, lastImages) < Constants.KEEP_IMAGES_EVERY_S) {
      return;
    }
    lastImages = now;
    int wanted = world.imagePartsPerThousand * thousands();
    if (wanted > world.imageParts) {
      world.imageParts(wanted); // It does not shrink with the fleet, or it would go to and fro.
    }
    Map<Integer, Map<String, List<String>>> parts = changedImageParts();
    if (parts.isEmpty()) {
      return;
    }
    for (Machine m : world.machines.values()) {
      Map<String, List<String>> part = parts.get(m.imagePart(world.imageParts));
      if (part == null) {
        continue;
      }
      m.imagesChanged = false;
      if (!m.images.isEmpty() && !m.returning) {
        part.put(m.name, List.copyOf(m.images.keySet()));
      }
    }
    parts.forEach((i, machines) -> world.out.add(new Action.KeepImages(i, machines)));
  }

  /** The records to write now, empty as yet: the next in turn of those that are out of date. */
  private Map<Integer, Map<String, List<String>>> changedImageParts() {
    boolean[] changed = new boolean[world.imageParts];
    for (Machine m : world.machines.values()) {
      changed[m.imagePart(world.imageParts)] |= m.imagesChanged;
    }
    Map<Integer, Map<String, List<String>>> parts = new HashMap<>();
    for (int i = 0; i < changed.length && parts.size() < Constants.IMAGE_PARTS_AT_ONCE; i++) {
      int part = nextImagePart % changed.length;
      nextImagePart = part + 1;
      if (changed[part]) {
        parts.put(part, new HashMap<>());
      }
    }
    return parts;
  }

  /** Ordinary CPUs that may still be rented for work that could use spot machines. */
  private double dearCpus;

  /** What arrays can have of the machines that are there or coming: all but services' share. */
  private double cpusForArrays(List<Bin> bins) {
    double sum = 0;
    for (Bin b : bins) {
      MachineType t = world.types.get(b.pool.type());
      if (t == null || (b.machine != null && b.machine.closing)) {
        continue;
      }
      sum += t.cpus();
      sum -= b.machine == null ? 0 : serviceCpus(b.machine);
    }
    return sum;
  }

  /**
   * Empties ordinary machines that deadlines don't need: the dearest first, arrays by waiting for
   * their end, and services by moving them one at a time to where there is room and their image.
   */
  private void close(double surplus, Set<Machine> keep, double now) {
    boolean impatient =
        world.jobs.values().stream().anyMatch(this::impatient)
            || arrivals.stream().anyMatch(a -> impatient(a.spec()));
    if (impatient || now - startedAt < Constants.SETTLE_S) {
      world.machines.values().forEach(m -> m.closing = false);
      return;
    }
    List<Machine> ordinary = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (m.reported
          && !m.spot
          && !m.leaseOver
          && !m.returning
          && world.types.containsKey(m.type)) {
        ordinary.add(m);
      }
    }
    double left = surplus;
    for (Machine m : ordinary) {
      if (m.closing && left < 0) {
        m.closing = false;
        left += m.room.cpus();
      }
    }
    ordinary.sort(Comparator.comparingDouble(m -> -wasted(m)));
    int most = atOnce(ordinary);
    int tries = Constants.CLOSE_TRIES_PER_THOUSAND * thousands();
    for (Machine m : ordinary) {
      if (m.closing || keep.contains(m) || now - m.rentedAt < Constants.CHARGED_AT_LEAST_S) {
        continue;
      }
      double forArrays = m.room.cpus() - serviceCpus(m);
      boolean enough = left - forArrays > Constants.CLOSE_SLACK * forArrays;
      if (enough && tries-- <= 0) {
        break; // The next plan looks again; each look compares with the whole fleet.
      }
      if (enough && movable(m, ordinary, now) && warmEnoughWithout(m, ordinary)) {
        m.closing = true;
        left -= forArrays;
        world.note("closing " + m.name + ": its work fits on cheaper machines");
        if (--most <= 0) {
          break; // A few at a time, so that the next plan sees what came of it.
        }
      }
    }
    move(ordinary, now);
  }

  /** Machines or replicas to move in one step: a small fleet one, a large one its share. */
  private static int atOnce(List<Machine> ordinary) {
    return 1 + (int) (ordinary.size() * Constants.CLOSE_SHARE);
  }

  private boolean impatient(Job j) {
    return !j.spec.isService() && !j.blocked() && !deadlines.patient(j);
  }

  private boolean impatient(JobSpec s) {
    return !s.isService() && !deadlines.patient(s);
  }

  private static double serviceCpus(Machine m) {
    return servicesOn(m).cpus();
  }

  /** Money an hour that the machine costs beyond what its services would cost elsewhere. */
  private double wasted(Machine m) {
    MachineType t = world.types.get(m.type);
    return t.price() * (1 - serviceCpus(m) / t.cpus());
  }

  /** True if the machine's services fit on the other ordinary machines that stay. */
  private boolean movable(Machine m, List<Machine> ordinary, double now) {
    if (serviceCpus(m) > Constants.MOVE_SHARE * m.room.cpus()) {
      return false;
    }
    Map<Machine, Resources> free = new LinkedHashMap<>();
    for (Machine o : ordinary) {
      if (o != m && !o.closing && world.usable(o, now)) {
        free.put(o, o.room.minus(servicesOn(o)));
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
   * that stay and have the image could hold what may come. Arrays there can be stopped for it.
   */
  private boolean warmEnoughWithout(Machine m, List<Machine> ordinary) {
    Map<String, Integer> largest = new HashMap<>();
    Map<String, JobSpec> typical = new HashMap<>();
    for (Arrival a : arrivals) {
      JobSpec s = a.spec();
      if (s.isService() && world.policy.waits().containsKey(s.jobClass()) && m.warm(s.image())) {
        largest.merge(s.image(), s.tasks(), Math::max);
        typical.put(s.image(), s);
      }
    }
    for (var e : typical.entrySet()) {
      int slots = 0;
      for (Machine o : ordinary) {
        if (o != m && !o.closing && o.warm(e.getKey())) {
          Resources room = o.room.minus(servicesOn(o));
          slots += room.times(Resources.of(e.getValue()));
        }
      }
      // What is moved off this machine takes room there as well.
      int moved = (int) Math.ceil(serviceCpus(m) / Math.max(e.getValue().cpus(), 1e-3));
      if (slots < Constants.WARM_JOBS * largest.get(e.getKey()) + moved) {
        return false;
      }
    }
    return true;
  }

  private static Resources servicesOn(Machine m) {
    return m.services;
  }

  /** Zone rules make moves of some services delicate; those stay where they are. */
  private boolean goodTarget(Claim c, Machine to) {
    JobSpec s = c.job.spec;
    return to.warm(s.image())
        && (s.types() == null || s.types().contains(to.type))
        && (s.zone() == null || s.zone().equals(to.zone))
        && !s.oneZone()
        && (!s.spread() || s.tasks() == 1);
  }

  private void move(List<Machine> ordinary, double now) {
    if (now - lastMove < Constants.MOVE_EVERY_S) {
      return;
    }
    int left = atOnce(ordinary);
    Map<Machine, Resources> promised = new HashMap<>();
    for (Machine m : ordinary) {
      if (!m.closing) {
        continue;
      }
      for (Claim c : m.claims.values()) {
        boolean settled =
            c.phase == Claim.Phase.HELD
                && !c.stopAsked
                && c.job.spec.isService()
                && c.runningSince > 0
                && now - c.runningSince > Constants.CHARGED_AT_LEAST_S;
        if (!settled) {
          continue;
        }
        for (Machine to : ordinary) {
          if (to != m
              && !to.closing
              && to.holds(c.room())
              && goodTarget(c, to)
              && world.usable(to, now)
              && to.free().minus(promised.getOrDefault(to, Resources.NONE)).holds(c.room())) {
            world.askStop(c, now);
            lastMove = now;
            promised.merge(to, c.room(), Resources::plus);
            world.note("move " + c.taskId() + " off " + m.name);
            if (--left <= 0) {
              return;
            }
            break;
          }
        }
      }
    }
  }

  /**
   * How many tasks the team's limit has room for. What earlier jobs of this plan were given counts,
   * since machines for more could not be used.
   */
  private int withinLimit(Job j, Map<String, Double> teamLeft) {
    JobSpec s = j.spec;
    Team t = world.policy.team(s.team());
    int open = j.open.cardinality();
    if (t == null || t.cpusMax() <= 0 || s.cpus() <= 0) {
      return open;
    }
    double left = teamLeft.computeIfAbsent(s.team(), world::cpusLeft);
    int n = (int) Math.max(0, Math.min(open, (left + Resources.SLACK) / s.cpus()));
    teamLeft.put(s.team(), left - n * s.cpus());
    return n;
  }

  private boolean suits(JobSpec s, Pool p) {
    MachineType t = world.types.get(p.type());
    return t != null
        && s.fits(t)
        && (s.zone() == null || s.zone().equals(p.zone()))
        && (s.spot() || !p.spot());
  }

  /**
   * Puts tasks into bins, and rents for the rest. {@code keep} takes the machines that hold spare
   * room, or is null.
   */
  private void fill(
      JobSpec s,
      int n,
      ZoneRoom zones,
      List<Bin> bins,
      Map<Pool, Integer> wanted,
      Set<Machine> keep,
      double now) {
    Resources need = Resources.of(s);
    int left = n;
    // What may use spot machines takes those first, and leaves the others to what may not.
    for (boolean first : new boolean[] {true, false}) {
      for (Bin b : bins) {
        if (left <= 0) {
          return;
        }
        if (!suits(s, b.pool) || (s.spot() && b.pool.spot() != first) || (!s.spot() && !first)) {
          continue;
        }
        Resources room = s.isService() ? b.free.plus(b.yielding) : b.free;
        int k = Math.min(left, Math.min(b.places, room.times(need)));
        if (zones != null && k > 0) {
          k = Math.min(k, zones.left(b.pool.zone()));
          zones.take(b.pool.zone(), k);
        }
        if (k > 0 && keep != null && b.machine != null) {
          keep.add(b.machine);
        }
        b.free = less(b.free, need, k);
        b.places -= k;
        left -= k;
      }
    }
    while (left > 0) {
      boolean patient = deadlines.patient(s);
      Pool p = cheapest(s, left, zones, patient && dearCpus <= 0, now);
      if (p == null) {
        return;
      }
      if (patient) {
        dearCpus -= world.types.get(p.type()).cpus();
      }
      Resources room = Resources.of(world.types.get(p.type()));
      int k = Math.min(left, Math.min(Constants.MOST_ON_MACHINE, room.times(need)));
      if (zones != null) {
        k = Math.min(k, zones.left(p.zone()));
        zones.take(p.zone(), k);
      }
      Bin rented = new Bin(null, p, less(room, need, k));
      rented.places -= k;
      bins.add(rented);
      left -= k;
      if (wanted.merge(p, 1, Integer::sum) >= Constants.MOST_HIRED) {
        return;
      }
    }
  }

  private static Resources less(Resources r, Resources need, int k) {
    return new Resources(
        r.cpus() - k * need.cpus(), r.gpus() - k * need.gpus(), r.memGb() - k * need.memGb());
  }

  /** The pool with the least price for each task that it would really hold. */
  private Pool cheapest(JobSpec s, int left, ZoneRoom zones, boolean spotOnly, double now) {
    Pool best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType t : world.types.values()) {
      int slots =
          Math.min(
              left, Math.min(Constants.MOST_ON_MACHINE, Resources.of(t).times(Resources.of(s))));
      if (slots <= 0) {
        continue;
      }
      for (String zone : t.zones()) {
        for (boolean spot : new boolean[] {true, false}) {
          Pool p = new Pool(t.name(), zone, spot);
          Refusal r = refused.get(p);
          if (!suits(s, p)
              || (zones != null && zones.left(zone) == 0)
              || (spotOnly && !spot && spotExists(t))
              || (spot && !world.policy.tuning().spotAllowed())
              || (r != null && now < r.until)) {
            continue;
          }
          double price = t.priceOf(spot) / slots;
          price *= boots.stalled(t.name()) ? Constants.STALLED_PRICE : 1;
          if (price < bestPrice) {
            bestPrice = price;
            best = p;
          }
        }
      }
    }
    return best;
  }

  /** A type without a spot price can't be waited for. */
  private boolean spotExists(MachineType t) {
    return t.spotPrice() > 0 && world.policy.tuning().spotAllowed();
  }

  /**
   * Room to keep free: for each class that should start sooner than a machine boots, what arrived
   * within a boot time on average, and at least one job of the largest usual size.
   */
  private Map<JobSpec, Integer> spare(double now) {
    Map<String, List<Arrival>> byClass = new HashMap<>();
    for (Arrival a : arrivals) {
      byClass.computeIfAbsent(a.spec().jobClass(), c -> new ArrayList<>()).add(a);
    }
    double boot = 0;
    for (MachineType t : world.types.values()) {
      boot = Math.max(boot, t.bootS());
    }
    Map<JobSpec, Integer> spare = new HashMap<>();
    for (var e : byClass.entrySet()) {
      Double wait = world.policy.waits().get(e.getKey());
      if (wait == null || wait > boot) {
        continue;
      }
      int sum = 0;
      int largest = 0;
      for (Arrival a : e.getValue()) {
        sum += a.tasks();
        largest = Math.max(largest, a.tasks());
      }
      double span =
          Math.max(Constants.LEAST_SPAN_S, Math.min(Constants.ARRIVAL_MEMORY_S, now - startedAt));
      double mean = sum / span * boot * 1.5;
      JobSpec typical = e.getValue().get(e.getValue().size() - 1).spec();
      // Arrays come in lumps, and several at once on a bad day.
      double lump = typical.isService() ? Math.max(mean, largest) : mean + 2 * largest;
      double n = lump * world.policy.tuning().spareFactor();
      spare.put(typical, (int) Math.ceil(n));
    }
    return spare;
  }

  private void giveBack(Set<Machine> needed, double now) {
    List<String> back = new ArrayList<>();
    for (Machine m : world.machines.values()) {
      if (back.size() >= Constants.MOST_RETURNED) {
        break;
      }
      if (m.returning) {
        if (now - m.returnAskedAt > Constants.RETURN_RETRY_S) {
          m.returnAskedAt = now;
          back.add(m.name);
        }
        continue;
      }
      String why = reason(m, needed, now);
      if (why != null) {
        m.returning = true;
        m.returnAskedAt = now;
        back.add(m.name);
        world.note("give back " + m.name + ": " + why);
      }
    }
    if (!back.isEmpty()) {
      world.out.add(new Action.GiveBack(back));
    }
  }

  private final List<Double> replacedAt = new ArrayList<>();

  /**
   * True for a silent machine that is better given back than waited for: its services would be down
   * until its lease has run out, while the cloud's answer to a deletion proves them gone at once.
   * Only if it is alone in this, since otherwise the trouble may be ours.
   */
  private boolean gone(Machine m, double now) {
    // One whose reports come but that hears nothing will lose its services all the same.
    double heard = Math.max(m.deafSince != null ? m.deafSince : m.lastReport, startedAt);
    if (m.leaseOver
        || m.failedPokes < Constants.DEAD_POKES
        || now - heard < world.policy.reportS() * Constants.DEAD_REPORTS
        || m.claims.values().stream().noneMatch(c -> c.job.spec.isService())) {
      return false;
    }
    replacedAt.removeIf(t -> now - t > Constants.REPLACE_MEMORY_S);
    Silence silence = silence(now);
    if (silence.mostOf(m.zone) && world.deputies.mayKeep(m.zone, now)) {
      return false; // The zone is cut off, and its deputy keeps its services up.
    }
    return silence.silent + replacedAt.size() <= Math.max(1, silence.up * Constants.ALONE_SHARE);
  }

  /** How many ordinary machines are silent, in all and by zone, counted once a plan. */
  private static final class Silence {
    final double countedAt;
    int up;
    int silent;
    private final Map<String, Integer> upIn = new HashMap<>();
    private final Map<String, Integer> silentIn = new HashMap<>();

    Silence(double now) {
      countedAt = now;
    }

    void count(String zone, boolean quiet) {
      int one = quiet ? 1 : 0;
      up++;
      silent += one;
      if (zone != null) {
        upIn.merge(zone, 1, Integer::sum);
        silentIn.merge(zone, one, Integer::sum);
      }
    }

    /** True if more than half of a zone's machines are silent. */
    boolean mostOf(String zone) {
      return zone != null && silentIn.getOrDefault(zone, 0) * 2 > upIn.getOrDefault(zone, 0);
    }
  }

  private Silence lastSilence = new Silence(Double.NEGATIVE_INFINITY);

  private Silence silence(double now) {
    if (lastSilence.countedAt == now) {
      return lastSilence;
    }
    Silence counted = new Silence(now);
    for (Machine o : world.machines.values()) {
      if (!o.leaseOver && !o.spot && (o.reported || !o.claims.isEmpty())) {
        // Not only those that were asked already: of hundreds, the first ones are asked first.
        boolean quiet =
            o.failedPokes > 0
                || now - Math.max(o.lastReport, startedAt)
                    > world.policy.reportS() * Constants.POKE_REPORTS;
        counted.count(o.zone, quiet);
      }
    }
    lastSilence = counted;
    return counted;
  }

  /** Why a machine should go, or null. */
  private String reason(Machine m, Set<Machine> needed, double now) {
    MachineType t = m.type == null ? null : world.types.get(m.type);
    if (m.failed) {
      return "it has failed";
    }
    if (gone(m, now)) {
      replacedAt.add(now);
      return "no sign of it, and services wait to be replaced";
    }
    if (!m.reported) {
      if (t == null || !m.claims.isEmpty()) {
        return null;
      }
      double limit = boots.limit(m.type);
      return now - m.rentedAt > limit && now - m.knownSince > limit / 2 ? "it never came up" : null;
    }
    if (m.leaseOver) {
      double silent = now - m.lastReport;
      return silent > world.policy.leaseS() + Constants.SILENT_KEEP_S
          ? "silent for too long"
          : null;
    }
    if (!m.claims.isEmpty() || (m.last != null && !m.last.tasks().isEmpty())) {
      return null;
    }
    if (m.deafSince != null && now - m.deafSince > Constants.SILENT_KEEP_S) {
      return "it reports but hears nothing";
    }
    if (m.bad) {
      return "tasks of several jobs failed on it";
    }
    if (needed.contains(m) || m.cordoned) {
      return null;
    }
    if (now - startedAt < Constants.SETTLE_S) {
      return null;
    }
    if (m.closing) {
      return "its work went to cheaper machines";
    }
    double idle = world.policy.tuning().idleS();
    return now - m.idleSince > idle && now - m.knownSince > idle ? "idle" : null;
  }
}

package graderelay.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Scale-out decisions: bin packing of the work that waits, and of the spare room wanted, into the
 * machines that are there or booting; what is left over becomes scale-out requests to the cheapest
 * pools. Pools that answered without capacity are backed off from.
 */
final class ScaleOutPlanner {
  /** Machines in one rental request, a batch; a limit of the protocol. */
  private static final int MOST_SCALED_OUT = 50;

  /** A scale-out request that the cloud has not answered yet. */
  private record PendingRequest(InstancePool pool, int count, double since) {}

  private final ClusterState cluster;
  private final BootTimes boots;
  private final Deadlines deadlines;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final PoolChooser pools;
  private long nextRequestId = 1;

  /** On-demand CPUs that may still be requested for work that could wait for spot machines. */
  private double onDemandCpusLeft;

  ScaleOutPlanner(ClusterState cluster, BootTimes boots, Deadlines deadlines) {
    this.cluster = cluster;
    this.boots = boots;
    this.deadlines = deadlines;
    this.pools = new PoolChooser(cluster, boots);
  }

  /**
   * The cloud's answer to scale-out request {@code id}: the machines it created (null if none), and
   * whether the pool said it had no capacity.
   */
  void onAnswer(long id, List<String> names, boolean noCapacity, double now) {
    PendingRequest request = pending.remove(id);
    if (request == null) {
      return;
    }
    if (noCapacity || (names != null && names.size() < request.count())) {
      pools.noCapacity(request.pool(), now);
    } else if (names != null) {
      pools.hadCapacity(request.pool());
    }
    if (names == null) {
      return;
    }
    InstancePool p = request.pool();
    for (String n : names) {
      Machine m = cluster.machine(n, now);
      if (!m.reported) {
        cluster.locate(m, p.type(), p.zone(), p.spot());
        m.requestedAt = request.since();
        m.booting = true;
      }
    }
  }

  /** The bins of a plan: machines that may take work, and those that requests will bring. */
  List<PackingBin> bins(double now) {
    List<PackingBin> bins = new ArrayList<>();
    for (Machine m : cluster.machines.values()) {
      if (mayTakeWork(m, now)) {
        PackingBin b = new PackingBin(m, new InstancePool(m.type, m.zone, m.spot), m.free());
        for (Claim c : m.claims.values()) {
          if (!c.job.spec.isService() && Priority.PROD.beats(c.priority)) {
            b.yielding = b.yielding.plus(c.room());
          }
        }
        bins.add(b);
      }
    }
    for (PendingRequest r : pending.values()) {
      for (int i = 0; i < r.count(); i++) {
        bins.add(new PackingBin(null, r.pool(), Resources.of(cluster.types.get(r.pool().type()))));
      }
    }
    return bins;
  }

  private boolean mayTakeWork(Machine m, double now) {
    if (m.returning || m.drain || m.cordoned || m.noticeAt != null || m.leaseOver) {
      return false;
    }
    if (!m.reported && (m.type == null || !boots.likely(m, now))) {
      return false;
    }
    return !(now < m.quarantineUntil);
  }

  /** What arrays can have of the machines that are there or coming: all but services' share. */
  double cpusForArrays(List<PackingBin> bins) {
    double sum = 0;
    for (PackingBin b : bins) {
      MachineType t = cluster.types.get(b.pool.type());
      if (t == null || (b.machine != null && b.machine.closing)) {
        continue;
      }
      sum += t.cpus();
      sum -= b.machine == null ? 0 : b.machine.services.cpus();
    }
    return sum;
  }

  /**
   * Packs the work that waits and the spare room wanted into the bins, services first, and returns
   * the machines still to request by pool. {@code keep} receives the machines that hold spare room.
   *
   * @param onDemandCpus on-demand CPUs that deadlines need beyond the fleet
   */
  Map<InstancePool, Integer> pack(
      List<PackingBin> bins,
      Map<JobSpec, Integer> spare,
      double onDemandCpus,
      Set<Machine> keep,
      double now) {
    onDemandCpusLeft = onDemandCpus;
    Map<InstancePool, Integer> wanted = new HashMap<>();
    Map<String, Double> teamLeft = new HashMap<>();
    // Services first: they can't use spot machines, and arrays make room for them.
    List<Job> waiting = new ArrayList<>();
    for (Job j : cluster.jobs.values()) {
      if (j.waiting() && !j.suspect) {
        waiting.add(j);
      }
    }
    waiting.sort(Comparator.comparing(j -> !j.spec.isService()));
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
    return wanted;
  }

  /** Sends a scale-out request for each pool, as far as the boot times allow. */
  void request(Map<InstancePool, Integer> wanted, double now) {
    for (var e : wanted.entrySet()) {
      InstancePool p = e.getKey();
      int n = boots.allowed(p.type(), Math.min(MOST_SCALED_OUT, e.getValue()), now);
      if (n == 0) {
        continue;
      }
      long id = nextRequestId++;
      pending.put(id, new PendingRequest(p, n, now));
      cluster.out.add(new Action.ScaleOut(id, p.type(), p.zone(), p.spot(), n));
    }
  }

  /**
   * Takes out the machines on which not even the smallest task of the plan fits. On a busy fleet
   * these are most, and each job that waits would look at every one of them.
   */
  private static void dropFull(List<PackingBin> bins, List<Job> waiting, Set<JobSpec> spare) {
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

  /**
   * How many tasks the team's quota has room for. What earlier jobs of this plan were given counts,
   * since machines for more could not be used.
   */
  private int withinLimit(Job j, Map<String, Double> teamLeft) {
    JobSpec s = j.spec;
    Team t = cluster.policy.team(s.team());
    int open = j.open.cardinality();
    if (t == null || t.cpusMax() <= 0 || s.cpus() <= 0) {
      return open;
    }
    double left = teamLeft.computeIfAbsent(s.team(), cluster::cpusLeft);
    int n = (int) Math.max(0, Math.min(open, (left + Resources.SLACK) / s.cpus()));
    teamLeft.put(s.team(), left - n * s.cpus());
    return n;
  }

  /**
   * Puts {@code n} tasks of the spec into bins, and adds machines to request for the rest. {@code
   * keep} takes the machines that hold spare room, or is null.
   */
  private void fill(
      JobSpec s,
      int n,
      ZoneRoom zones,
      List<PackingBin> bins,
      Map<InstancePool, Integer> wanted,
      Set<Machine> keep,
      double now) {
    int left = fillBins(s, n, zones, bins, keep);
    Resources need = Resources.of(s);
    while (left > 0) {
      boolean patient = deadlines.mayWaitForSpot(s);
      InstancePool p = pools.cheapest(s, left, zones, patient && onDemandCpusLeft <= 0, now);
      if (p == null) {
        return;
      }
      if (patient) {
        onDemandCpusLeft -= cluster.types.get(p.type()).cpus();
      }
      Resources room = Resources.of(cluster.types.get(p.type()));
      int k = Math.min(left, Math.min(SchedulerLimits.MOST_ON_MACHINE, room.times(need)));
      if (zones != null) {
        k = Math.min(k, zones.left(p.zone()));
        zones.take(p.zone(), k);
      }
      PackingBin requested = new PackingBin(null, p, less(room, need, k));
      requested.places -= k;
      bins.add(requested);
      left -= k;
      if (wanted.merge(p, 1, Integer::sum) >= MOST_SCALED_OUT) {
        return;
      }
    }
  }

  /** Puts what fits into the bins there are and returns how many tasks are left. */
  private int fillBins(JobSpec s, int n, ZoneRoom zones, List<PackingBin> bins, Set<Machine> keep) {
    Resources need = Resources.of(s);
    int left = n;
    // What may use spot machines takes those first, and leaves the others to what may not.
    for (boolean first : new boolean[] {true, false}) {
      for (PackingBin b : bins) {
        if (left <= 0) {
          return left;
        }
        if (!pools.suits(s, b.pool)
            || (s.spot() && b.pool.spot() != first)
            || (!s.spot() && !first)) {
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
    return left;
  }

  private static Resources less(Resources r, Resources need, int k) {
    return new Resources(
        r.cpus() - k * need.cpus(), r.gpus() - k * need.gpus(), r.memGb() - k * need.memGb());
  }
}

package graderelay.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Scale-out decisions: what {@link ScaleOutPacking} could not put into the machines that are there
 * or booting becomes scale-out requests to the cheapest pools. Pools that answered without capacity
 * are backed off from.
 */
final class ScaleOutPlanner {
  /** Machines in one scale-out request, a batch; a limit of the protocol. */
  static final int MOST_SCALED_OUT = 50;

  /**
   * A scale-out request that the cloud has not answered yet.
   *
   * @param since when it was sent, in seconds on the leader's clock
   */
  private record PendingRequest(InstancePool pool, int count, double since) {}

  private final ClusterState cluster;
  private final BootTimes boots;
  private final Deadlines deadlines;
  private final Map<Long, PendingRequest> pending = new HashMap<>();
  private final PoolChooser pools;
  private long nextRequestId = 1;

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
    if (names != null) {
      names.forEach(name -> created(name, request, now));
    }
  }

  /** The request has brought this machine; its heartbeat may have come before the answer. */
  private void created(String name, PendingRequest request, double now) {
    Machine machine = cluster.getOrAddMachine(name, now);
    if (!machine.heartbeatReceived) {
      InstancePool pool = request.pool();
      cluster.setTypeAndZone(machine, pool.type(), pool.zone(), pool.spot());
      machine.requestedAt = request.since();
      machine.booting = true;
    }
  }

  /** The bins of a plan: machines that may take work, and those that requests will bring. */
  List<PackingBin> bins(double now) {
    List<PackingBin> bins = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (mayTakeWork(machine, now)) {
        bins.add(PackingBin.of(machine));
      }
    }
    for (PendingRequest request : pending.values()) {
      for (int i = 0; i < request.count(); i++) {
        InstancePool pool = request.pool();
        bins.add(PackingBin.requested(pool, cluster.types.get(pool.type())));
      }
    }
    return bins;
  }

  private boolean mayTakeWork(Machine machine, double now) {
    if (machine.scalingIn
        || machine.drain
        || machine.cordoned
        || machine.interruptionAt != null
        || machine.leaseExpired) {
      return false;
    }
    if (!machine.heartbeatReceived && (machine.type == null || !boots.likely(machine, now))) {
      return false;
    }
    return !(now < machine.quarantineUntil);
  }

  /** CPUs that arrays can have of the machines that are there or coming: all but services'. */
  double cpusForArrays(List<PackingBin> bins) {
    double cpus = 0;
    for (PackingBin bin : bins) {
      MachineType type = cluster.types.get(bin.pool.type());
      if (type == null || (bin.machine != null && bin.machine.consolidating)) {
        continue;
      }
      cpus += type.cpus();
      cpus -= bin.machine == null ? 0 : bin.machine.serviceResources.cpus();
    }
    return cpus;
  }

  /**
   * Packs the work that waits and the spare room wanted into the bins and returns how many machines
   * of each pool to request.
   *
   * @param spareRoom tasks to keep room for, by spec
   * @param onDemandCpus on-demand CPUs that deadlines need beyond the fleet
   * @param spareRoomMachines receives the machines that hold spare room
   */
  Map<InstancePool, Integer> pack(
      List<PackingBin> bins,
      Map<JobSpec, Integer> spareRoom,
      double onDemandCpus,
      Set<Machine> spareRoomMachines,
      double now) {
    return new ScaleOutPacking(cluster, deadlines, pools, bins, onDemandCpus, now)
        .pack(spareRoom, spareRoomMachines);
  }

  /** Sends a scale-out request for each pool, as far as the boot times allow. */
  void request(Map<InstancePool, Integer> toRequest, double now) {
    for (var entry : toRequest.entrySet()) {
      InstancePool pool = entry.getKey();
      int batch = Math.min(MOST_SCALED_OUT, entry.getValue());
      int count = boots.allowed(pool.type(), batch, now);
      if (count == 0) {
        continue;
      }
      long id = nextRequestId++;
      pending.put(id, new PendingRequest(pool, count, now));
      cluster.actions.add(new Action.ScaleOut(id, pool.type(), pool.zone(), pool.spot(), count));
    }
  }
}

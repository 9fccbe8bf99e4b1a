package graderelay.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which machines to request. Tasks that {@link ScaleOutPacking} can't fit into running,
 * booting or requested machines lead to scale-out requests to the cheapest pools. {@link
 * PoolChooser} skips pools that recently had no capacity.
 */
final class ScaleOutPlanner {
  /** Maximum number of machines in one scale-out request; a limit of the protocol. */
  static final int MAX_MACHINES_PER_REQUEST = 50;

  /**
   * A scale-out request that the cloud has not responded to yet.
   *
   * @param sentAt when it was sent, in seconds on the leader's clock
   */
  private record PendingRequest(InstancePool pool, int count, double sentAt) {}

  private final ClusterState cluster;
  private final BootTimes bootTimes;
  private final Deadlines deadlines;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private final PoolChooser poolChooser;
  private long nextRequestId = 1;

  ScaleOutPlanner(ClusterState cluster, BootTimes bootTimes, Deadlines deadlines) {
    this.cluster = cluster;
    this.bootTimes = bootTimes;
    this.deadlines = deadlines;
    this.poolChooser = new PoolChooser(cluster, bootTimes);
  }

  /**
   * Handles the cloud's response to scale-out request {@code id}.
   *
   * @param machineNames machines created, or null if there are none
   * @param noCapacity whether the cloud reported that the pool has no capacity
   */
  void onScaleOutResponse(long id, List<String> machineNames, boolean noCapacity, double now) {
    PendingRequest request = pendingRequests.remove(id);
    if (request == null) {
      return;
    }
    if (noCapacity || (machineNames != null && machineNames.size() < request.count())) {
      poolChooser.onNoCapacity(request.pool(), now);
    } else if (machineNames != null) {
      poolChooser.onCapacityProvided(request.pool());
    }
    if (machineNames != null) {
      machineNames.forEach(name -> onMachineCreated(name, request, now));
    }
  }

  /** Adds a machine that the request created, unless its heartbeat arrived before the response. */
  private void onMachineCreated(String name, PendingRequest request, double now) {
    Machine machine = cluster.getOrAddMachine(name, now);
    if (!machine.heartbeatReceived) {
      InstancePool pool = request.pool();
      cluster.setTypeAndZone(machine, pool.type(), pool.zone(), pool.spot());
      machine.requestedAt = request.sentAt();
      machine.booting = true;
    }
  }

  /** The bins of a plan: machines that can take tasks and machines of pending requests. */
  List<PackingBin> bins(double now) {
    List<PackingBin> bins = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (canTakeTasks(machine, now)) {
        bins.add(PackingBin.of(machine));
      }
    }
    pendingRequests.values().forEach(request -> addRequestedMachines(request, bins));
    return bins;
  }

  /** Adds the machines of a request, unless the cloud lists their type no longer. */
  private void addRequestedMachines(PendingRequest request, List<PackingBin> bins) {
    InstancePool pool = request.pool();
    MachineType type = cluster.machineTypes.get(pool.type());
    for (int i = 0; i < request.count() && type != null; i++) {
      bins.add(PackingBin.ofRequestedMachine(pool, type));
    }
  }

  private boolean canTakeTasks(Machine machine, double now) {
    if (machine.scalingIn
        || machine.isOutOfUse(now)
        || machine.cordoned
        || machine.interruptionAt != null
        || machine.leaseExpired
        || isDeaf(machine, now)) {
      return false;
    }
    if (!machine.heartbeatReceived
        && (machine.type == null || !bootTimes.isLikelyToComeUp(machine, now))) {
      return false;
    }
    return !(now < machine.quarantineUntil);
  }

  /**
   * True for a machine that has received no response for longer than a lease. Its tasks are gone by
   * then, and placement gives it no others.
   */
  private boolean isDeaf(Machine machine, double now) {
    return machine.responsesLostSince != null
        && now - machine.responsesLostSince > cluster.policy.leaseS();
  }

  /** CPUs available to arrays in the bins: those that are not used by services. */
  double cpusAvailableToArrays(List<PackingBin> bins) {
    double cpus = 0;
    for (PackingBin bin : bins) {
      MachineType type = cluster.machineTypes.get(bin.pool.type());
      if (type == null || (bin.machine != null && bin.machine.consolidating)) {
        continue;
      }
      cpus += type.cpus();
      cpus -= bin.machine == null ? 0 : bin.machine.serviceResources.cpus();
    }
    return cpus;
  }

  /**
   * Packs waiting tasks and spare capacity into the bins and returns the number of machines to
   * request from each pool.
   *
   * @param spareCapacity number of tasks to keep spare capacity for, by spec
   * @param onDemandCpus on-demand CPUs needed to meet deadlines, beyond the existing fleet
   * @param machinesToKeep receives the machines that hold spare capacity, or room that the plan has
   *     promised to waiting tasks
   * @param unmetDemand receives the waiting tasks for which no machine is requested
   */
  Map<InstancePool, Integer> pack(
      List<PackingBin> bins,
      Map<JobSpec, Integer> spareCapacity,
      double onDemandCpus,
      Set<Machine> machinesToKeep,
      UnmetDemand unmetDemand,
      double now) {
    return new ScaleOutPacking(
            cluster, deadlines, poolChooser, bins, unmetDemand, onDemandCpus, now)
        .pack(spareCapacity, machinesToKeep);
  }

  /**
   * Sends one scale-out request per pool; {@link BootTimes#allowedRequests} limits stalled types.
   */
  void sendRequests(Map<InstancePool, Integer> machinesToRequest, double now) {
    for (var entry : machinesToRequest.entrySet()) {
      InstancePool pool = entry.getKey();
      int batch = Math.min(MAX_MACHINES_PER_REQUEST, entry.getValue());
      int count = bootTimes.allowedRequests(pool.type(), batch, now);
      if (count == 0) {
        continue;
      }
      long id = nextRequestId++;
      pendingRequests.put(id, new PendingRequest(pool, count, now));
      cluster.actions.add(new Action.ScaleOut(id, pool.type(), pool.zone(), pool.spot(), count));
    }
  }
}

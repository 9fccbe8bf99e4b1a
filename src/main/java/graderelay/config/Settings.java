package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.LeaseTiming;
import graderelay.core.Team;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The validated settings of the platform's settings file, and the durations derived from them.
 * {@link SettingsParser} defines the names of the fields in the file.
 *
 * @param member the name of this controller
 * @param zone the zone that this controller runs in
 * @param apiAddress the address that serves users, workers and operators
 * @param peerAddress the address that serves the other controllers
 * @param peers the other controllers
 * @param cloudAddress the address of the cloud's machine API
 * @param storeAddress the address of the key-value store
 * @param teams the teams with their quotas
 * @param startObjectivesS the shortest start objective by job class, in seconds
 * @param startObjectiveStepsS all start objectives by job class, in seconds, ascending
 * @param completionObjectivesS the shortest completion objective by job class, in seconds
 * @param heartbeatIntervalS interval between two heartbeats of a worker, in seconds
 * @param leaseS duration of a worker's lease, in seconds
 * @param cancellationDeadlineS seconds within which all tasks of a cancelled job must have stopped
 * @param storeRequestsPerS store requests that this controller may make per second
 * @param storeChangesPerS changes of stored records that are allowed per second at present
 * @param valueKib maximum size of a stored value at present, in KiB
 * @param txnOps maximum number of operations in one transaction at present
 * @param cloudRequestsPerS cloud requests that this controller may make per second
 * @param listLagS seconds by which the cloud's list of machines may lag behind a scale-out
 * @param cpuShare the share of a core that this controller has
 * @param maxConnections maximum number of open connections of this controller
 * @param nextStoreLimits limits of the store that will replace the present ones at an unknown time
 */
public record Settings(
    String member,
    String zone,
    String apiAddress,
    String peerAddress,
    List<Peer> peers,
    String cloudAddress,
    String storeAddress,
    List<Team> teams,
    Map<String, Double> startObjectivesS,
    Map<String, List<Double>> startObjectiveStepsS,
    Map<String, Double> completionObjectivesS,
    double heartbeatIntervalS,
    double leaseS,
    double cancellationDeadlineS,
    double storeRequestsPerS,
    double storeChangesPerS,
    double valueKib,
    int txnOps,
    double cloudRequestsPerS,
    double listLagS,
    double cpuShare,
    int maxConnections,
    StoreLimits nextStoreLimits) {
  /**
   * Bytes of a value that are left unused, since the store may compute the size of a value
   * differently.
   */
  private static final int VALUE_MARGIN_BYTES = 48;

  /**
   * Duration of the leader's session lease relative to a worker's lease: a failover must complete
   * before worker leases expire.
   */
  private static final double SESSION_LEASE_RATIO = 0.3;

  /**
   * Maximum duration of the session lease: four renewals, each with time for a slow response. A
   * longer lease would leave the cluster without a leader for longer after the loss of each leader.
   */
  private static final double MAX_SESSION_LEASE_S = 3.6;

  /**
   * Time left before the cancellation deadline when the last lease that was renewed before the
   * cancellation was known expires: it covers responses in flight and a worker that is slow to
   * react.
   */
  private static final double CANCELLATION_MARGIN_S = 1;

  /**
   * Staleness of the known cancellations that is always allowed, so that a slow response of the
   * store does not prevent lease renewals, even if leases are about as long as the cancellation
   * deadline.
   */
  private static final double MIN_CANCELLATION_STALENESS_S = 4;

  /**
   * Share of the slack before the cancellation deadline that a newly started process may use to
   * renew leases.
   */
  private static final double STARTUP_RENEWAL_SHARE = 0.4;

  /**
   * Minimum useful duration of the startup renewal period; if it would be shorter, a newly started
   * process waits for the records instead.
   */
  private static final double MIN_STARTUP_RENEWAL_S = 0.5;

  /**
   * Maximum duration of a lease delegate's grant after the leader's last message, in worker lease
   * durations. Network partitions of a zone last about two lease durations. A longer grant would
   * further delay the restart elsewhere of tasks whose machines in the zone have failed.
   */
  private static final double MAX_DELEGATE_GRANT_LEASES = 2;

  /**
   * Time left before the cancellation deadline when the last lease that a lease delegate renewed
   * expires: a job may be cancelled just after the zone was partitioned, when the lease delegate
   * can't learn of it.
   */
  private static final double DELEGATE_CANCELLATION_MARGIN_S = 2;

  /**
   * Limits of the key-value store.
   *
   * @param changesPerS changes of records per second
   * @param valueKib maximum size of a value, in KiB
   * @param txnOps maximum number of operations in one transaction
   */
  public record StoreLimits(double changesPerS, double valueKib, int txnOps) {
    /** Returns the maximum size of a value in bytes, less a safety margin. */
    public int valueBytes() {
      return (int) (valueKib * 1024) - VALUE_MARGIN_BYTES;
    }
  }

  /** Returns the present limits of the store according to the settings file. */
  public StoreLimits currentStoreLimits() {
    return new StoreLimits(storeChangesPerS, valueKib, txnOps);
  }

  /** Returns the lower of the present and the next value of each limit of the store. */
  public StoreLimits minStoreLimits() {
    return new StoreLimits(
        Math.min(storeChangesPerS, nextStoreLimits.changesPerS()),
        Math.min(valueKib, nextStoreLimits.valueKib()),
        Math.min(txnOps, nextStoreLimits.txnOps()));
  }

  /** Another controller: its name, its zone and the address that serves its peers. */
  public record Peer(String member, String zone, String address) {}

  /** Returns the duration of the leader's session lease, in seconds. */
  public double sessionLeaseS() {
    return Math.min(MAX_SESSION_LEASE_S, leaseS * SESSION_LEASE_RATIO);
  }

  /**
   * Returns the time for which a zone's lease delegate may renew leases after the leader's last
   * message, in seconds. The leases that it renews must expire before the cancellation deadline:
   * the leader's last message arrives at most one session lease after the start of the partition,
   * and the last lease expires one lease duration after the end of the grant.
   */
  public double delegateGrantS() {
    double maxS = cancellationDeadlineS - leaseS - sessionLeaseS() - DELEGATE_CANCELLATION_MARGIN_S;
    return Math.max(0, Math.min(leaseS * MAX_DELEGATE_GRANT_LEASES, maxS));
  }

  /**
   * Returns the maximum staleness of the known cancellations at which a worker's lease may be
   * renewed, in seconds. A task may run for one lease duration after the renewal, and must have
   * stopped by the cancellation deadline. The maximum is lower if newly started processes may renew
   * leases before they know any cancellations.
   */
  public double maxCancellationStalenessS() {
    double startupS = startupRenewalS();
    double maxS = cancellationSlackS() - (startupS > 0 ? maxLeaseS() + startupS : 0);
    return Math.max(MIN_CANCELLATION_STALENESS_S, maxS);
  }

  /**
   * Returns the time after a cancellation for which a lease delegate may be granted the right to
   * renew leases under a term under which a task of the cancelled job may still be launched, in
   * seconds. The last lease that it renews must expire by the cancellation deadline. Without lease
   * delegates it is as long as leases may be renewed.
   */
  public double maxGrantAfterCancellationS() {
    return delegateZones().isEmpty()
        ? maxCancellationStalenessS()
        : cancellationSlackS() - delegateGrantS() * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO);
  }

  /**
   * Returns the time after the start of a process for which it may renew leases before it knows any
   * cancellations, in seconds. The process that renewed them before was behind by at most {@link
   * #maxCancellationStalenessS}, and ended at most one lease duration ago, since the leases would
   * have expired otherwise. It is 0 if zones have lease delegates, whose grants use all of the
   * slack before the cancellation deadline.
   */
  public double startupRenewalS() {
    double slackS = cancellationSlackS() - maxLeaseS();
    double startupS =
        Math.min(slackS * STARTUP_RENEWAL_SHARE, slackS - MIN_CANCELLATION_STALENESS_S);
    return delegateZones().isEmpty() && startupS > MIN_STARTUP_RENEWAL_S ? startupS : 0;
  }

  /** Returns the maximum duration of a worker's lease including clock drift, in seconds. */
  private double maxLeaseS() {
    return leaseS * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO) + LeaseTiming.LEASE_MARGIN_S;
  }

  /**
   * Returns the time between the expiry of a lease that was renewed just before a cancellation and
   * the cancellation deadline, in seconds.
   */
  private double cancellationSlackS() {
    return cancellationDeadlineS * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO)
        - maxLeaseS()
        - CANCELLATION_MARGIN_S;
  }

  /**
   * Returns the zones of the other controllers by controller name, or an empty map if all
   * controllers are in one zone.
   */
  public Map<String, String> delegateZones() {
    Map<String, String> zones = new HashMap<>();
    peers.forEach(peer -> zones.put(peer.member(), peer.zone()));
    return zones.values().stream().allMatch(zone::equals) ? Map.of() : zones;
  }

  /** A field of the file is missing or invalid; the message names it. */
  public static final class InvalidSettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidSettingsException(String message) {
      super(message);
    }
  }

  /** Reads and validates the platform's settings file, which is in TOML. */
  public static Settings load(String file) throws InvalidSettingsException {
    return parse(TomlFile.read(file));
  }

  /** Validates a tree of settings. */
  public static Settings parse(JsonNode tree) throws InvalidSettingsException {
    return SettingsParser.parse(tree);
  }
}

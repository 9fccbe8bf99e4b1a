package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.core.LeaseTiming;
import graderelay.core.Team;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The checked settings of the platform's file, with the durations that follow from them. {@link
 * SettingsParser} has the names of the fields.
 *
 * @param member the name of this controller
 * @param zone the zone that it runs in
 * @param apiAddress where users, workers and operators reach it
 * @param peerAddress where the other controllers reach it
 * @param peers the other controllers
 * @param cloudAddress where the cloud's machine API is
 * @param stateAddress where the key-value store is
 * @param teams the teams with their quotas
 * @param waits by job class, the shortest waiting time in seconds that is an objective
 * @param waitSteps by job class, all waiting times in seconds that are objectives, in rising order
 * @param finishes by job class, the shortest time in seconds to finish in that is an objective
 * @param reportS seconds between heartbeats of a worker
 * @param leaseS seconds that a worker's lease lasts
 * @param cancelS seconds within which a cancelled job must have stopped everywhere
 * @param stateRps requests to the store in a second that are allowed to this controller
 * @param stateChangesPerS changes of stored records in a second that are allowed at present
 * @param valueKb the largest stored value at present, in units of 1024 bytes
 * @param txnOps the most operations in one transaction at present
 * @param cloudRps requests to the cloud in a second that are allowed to this controller
 * @param listLagS seconds by which the cloud's list of machines may lag behind a scale-out
 * @param cpuShare the share of a core that this controller has
 * @param maxConnections the most connections that this controller may have open
 * @param next the store's limits from some moment on
 */
public record Settings(
    String member,
    String zone,
    String apiAddress,
    String peerAddress,
    List<Peer> peers,
    String cloudAddress,
    String stateAddress,
    List<Team> teams,
    Map<String, Double> waits,
    Map<String, List<Double>> waitSteps,
    Map<String, Double> finishes,
    double reportS,
    double leaseS,
    double cancelS,
    double stateRps,
    double stateChangesPerS,
    double valueKb,
    int txnOps,
    double cloudRps,
    double listLagS,
    double cpuShare,
    int maxConnections,
    StateLimits next) {
  /** Bytes of a value that are left free, since its size may be counted in another way. */
  private static final int VALUE_MARGIN_BYTES = 48;

  /** Share of a worker's lease that the session lease lasts: failovers must beat the lease. */
  private static final double SESSION_LEASE_SHARE = 0.3;

  /**
   * Seconds that the session lease lasts at most: four renewals, each with time for a slow answer.
   * A longer one would leave the cluster without a leader for longer after each leader's end.
   */
  private static final double MOST_SESSION_LEASE_S = 3.6;

  /**
   * Seconds of a cancellation's time that are left when the last lease that was renewed without
   * knowing of it is over: for answers in flight and for a worker that is slow to notice.
   */
  private static final double CANCEL_MARGIN_S = 1;

  /**
   * Seconds by which the known cancellations may always be out of date: a slow answer of the store
   * costs no lease, also where leases are about as long as cancellations may take.
   */
  private static final double LEAST_RENEW_S = 4;

  /** Share of a cancellation's spare time that processes which have just started may use. */
  private static final double STARTUP_SHARE = 0.4;

  /** Seconds below which a process that has just started had better wait for the records. */
  private static final double LEAST_STARTUP_S = 0.5;

  /**
   * How many worker lease lengths a zone's lease delegate may renew leases for after the leader's
   * last message. Partitions of a zone last about two leases; tasks whose machines really died
   * there start elsewhere that much later.
   */
  private static final double DELEGATE_LEASES = 2;

  /**
   * Seconds left of a cancellation's time when the last lease that a lease delegate kept is over: a
   * job may be cancelled outside the zone just after it was cut off, unknown to the lease delegate.
   */
  private static final double DELEGATE_CANCEL_MARGIN_S = 2;

  /**
   * Limits of the key-value store.
   *
   * @param changesPerS changes of records in a second
   * @param valueKb the largest value, in units of 1024 bytes
   * @param txnOps the most operations in one transaction
   */
  public record StateLimits(double changesPerS, double valueKb, int txnOps) {
    /** The largest value in bytes, less a margin for other ways of counting. */
    public int valueBytes() {
      return (int) (valueKb * 1024) - VALUE_MARGIN_BYTES;
    }
  }

  /** The store's limits at present, as far as the platform's file says. */
  public StateLimits now() {
    return new StateLimits(stateChangesPerS, valueKb, txnOps);
  }

  /** The lower of each of the store's present and coming limits. */
  public StateLimits least() {
    return new StateLimits(
        Math.min(stateChangesPerS, next.changesPerS()),
        Math.min(valueKb, next.valueKb()),
        Math.min(txnOps, next.txnOps()));
  }

  /** Another controller: its name, its zone and where it listens to its peers. */
  public record Peer(String member, String zone, String address) {}

  /** Seconds that the leader's session lease lasts. */
  public double holdS() {
    return Math.min(MOST_SESSION_LEASE_S, leaseS * SESSION_LEASE_SHARE);
  }

  /**
   * Seconds for which a zone's lease delegate may renew leases after the leader's last message. The
   * leases it renews must be over within a cancellation's time: the leader's last message comes a
   * session lease after the cut at the latest, and the last lease ends one lease after the grant.
   */
  public double grantS() {
    double most = cancelS - leaseS - holdS() - DELEGATE_CANCEL_MARGIN_S;
    return Math.max(0, Math.min(leaseS * DELEGATE_LEASES, most));
  }

  /**
   * Seconds by which the known cancellations may be out of date when a worker's lease is renewed: a
   * task lives for a lease from then, and must be gone within a cancellation's time. Less where
   * processes that have just started may renew without knowing any.
   */
  public double renewWithinS() {
    double beginners = beginnersS();
    double most = cancelSpareS() - (beginners > 0 ? longestLeaseS() + beginners : 0);
    return Math.max(LEAST_RENEW_S, most);
  }

  /**
   * Seconds from the start of a process for which it may renew leases without knowing any
   * cancellations. Whoever renewed them before was at most {@link #renewWithinS} behind, and it
   * ended a lease ago at the most, since there would be none to renew. Where zones have lease
   * delegates, which use all of the time that a cancellation leaves, there is nothing to give away.
   */
  public double beginnersS() {
    double spare = cancelSpareS() - longestLeaseS();
    double startupS = Math.min(spare * STARTUP_SHARE, spare - LEAST_RENEW_S);
    return delegates().isEmpty() && startupS > LEAST_STARTUP_S ? startupS : 0;
  }

  /** Seconds that a worker's lease lasts at most, whatever its clock does. */
  private double longestLeaseS() {
    return leaseS * (1 + LeaseTiming.MAX_CLOCK_DRIFT_RATIO) + LeaseTiming.LEASE_MARGIN_S;
  }

  /** Seconds of a cancellation's time that a lease renewed without knowing of it leaves. */
  private double cancelSpareS() {
    return cancelS * (1 - LeaseTiming.MAX_CLOCK_DRIFT_RATIO) - longestLeaseS() - CANCEL_MARGIN_S;
  }

  /** The zones of the other controllers by name, or none where all controllers are in one zone. */
  public Map<String, String> delegates() {
    Map<String, String> zones = new HashMap<>();
    peers.forEach(peer -> zones.put(peer.member(), peer.zone()));
    return zones.values().stream().allMatch(zone::equals) ? Map.of() : zones;
  }

  /** The file is missing something or has it wrong; the message names the field. */
  public static final class Wrong extends Exception {
    private static final long serialVersionUID = 1L;

    Wrong(String message) {
      super(message);
    }
  }

  /** Reads and checks the platform's file, which is TOML. */
  public static Settings load(String file) throws Wrong {
    return parse(TomlFile.read(file));
  }

  /** Checks a tree of settings. */
  public static Settings parse(JsonNode tree) throws Wrong {
    return SettingsParser.parse(tree);
  }
}

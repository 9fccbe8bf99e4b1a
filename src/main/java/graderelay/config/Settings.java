package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import graderelay.core.LeaseTiming;
import graderelay.core.Team;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What the platform's file says, checked; fields that are not known are ignored. */
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

  /** Share of a worker's lease that the leader's hold lasts: takeovers must beat the lease. */
  private static final double HOLD_OF_LEASE = 0.3;

  /**
   * Seconds that the hold lasts at most: four renewals, each with time for a slow answer. With a
   * longer one nobody owns the fleet for longer after each end of a leader.
   */
  private static final double MOST_HOLD_S = 3.6;

  /**
   * Seconds of a cancellation's time that are left when the last lease that was renewed without
   * knowing of it is over: for answers under way and for a worker that is slow to look.
   */
  private static final double CANCEL_MARGIN_S = 1;

  /**
   * Seconds by which what is known of cancellations may always be old: a slow answer of the state
   * service costs no lease, also where leases are about as long as cancellations may take.
   */
  private static final double LEAST_RENEW_S = 4;

  /** Share of the time that is left to spare for processes that have just begun. */
  private static final double BEGINNERS_SHARE = 0.4;

  /** Seconds below which a process that has just begun had better wait for the records. */
  private static final double LEAST_BEGINNERS_S = 0.5;

  /**
   * Workers' leases for which a zone's lease delegate may keep them alive after the leader's last
   * word. Cuts of a zone last about two leases; what really died there starts elsewhere that much
   * later.
   */
  private static final double DELEGATE_LEASES = 2;

  /**
   * Seconds left of a cancellation's time when the last lease that a lease delegate kept is over: a
   * job may be cancelled outside just after the cut, of which the lease delegate knows nothing.
   */
  private static final double DELEGATE_CANCEL_MARGIN_S = 2;

  /** What the state service allows. */
  public record StateLimits(double changesPerS, double valueKb, int txnOps) {
    /** The largest value, with some room for what is counted in other ways. */
    public int valueBytes() {
      return (int) (valueKb * 1024) - VALUE_MARGIN_BYTES;
    }
  }

  /** What it allows at present, as far as the platform's file says. */
  public StateLimits now() {
    return new StateLimits(stateChangesPerS, valueKb, txnOps);
  }

  /** What fits its present limits and those that it will have from some moment on. */
  public StateLimits least() {
    return new StateLimits(
        Math.min(stateChangesPerS, next.changesPerS()),
        Math.min(valueKb, next.valueKb()),
        Math.min(txnOps, next.txnOps()));
  }

  /** Another controller. */
  public record Peer(String member, String zone, String address) {}

  /** Seconds that the leader's hold lasts. */
  public double holdS() {
    return Math.min(MOST_HOLD_S, leaseS * HOLD_OF_LEASE);
  }

  /**
   * Seconds for which a zone's lease delegate may keep leases alive after the leader's last word.
   * What it keeps must be gone within a cancellation's time: the leader's last word comes a hold
   * after the cut at the latest, and the last lease ends a lease after the grant.
   */
  public double grantS() {
    double most = cancelS - leaseS - holdS() - DELEGATE_CANCEL_MARGIN_S;
    return Math.max(0, Math.min(leaseS * DELEGATE_LEASES, most));
  }

  /**
   * Seconds by which what is known of cancellations may be old when a worker's lease is renewed: a
   * task lives for a lease from then, and must be gone within a cancellation's time. Less where
   * processes that have just begun may renew without knowing anything.
   */
  public double renewWithinS() {
    double beginners = beginnersS();
    double most = cancelSpareS() - (beginners > 0 ? longestLeaseS() + beginners : 0);
    return Math.max(LEAST_RENEW_S, most);
  }

  /**
   * Seconds from the start of a process for which it may renew leases without knowing anything of
   * cancellations. Whoever renewed them before was at most {@link #renewWithinS} behind, and it
   * ended a lease ago at the most, since there would be none to renew. Where zones have lease
   * delegates, which use all of the time that a cancellation leaves, there is nothing to give away.
   */
  public double beginnersS() {
    double spare = cancelSpareS() - longestLeaseS();
    double s = Math.min(spare * BEGINNERS_SHARE, spare - LEAST_RENEW_S);
    return delegates().isEmpty() && s > LEAST_BEGINNERS_S ? s : 0;
  }

  private double longestLeaseS() {
    return leaseS * (1 + LeaseTiming.DRIFT) + LeaseTiming.LEASE_MARGIN_S;
  }

  private double cancelSpareS() {
    return cancelS * (1 - LeaseTiming.DRIFT) - longestLeaseS() - CANCEL_MARGIN_S;
  }

  /** The other controllers by zone, or nobody where all are in one. */
  public Map<String, String> delegates() {
    Map<String, String> zones = new HashMap<>();
    peers.forEach(p -> zones.put(p.member(), p.zone()));
    return zones.values().stream().allMatch(zone::equals) ? Map.of() : zones;
  }

  /** The file is missing something or has it wrong; the message names the field. */
  public static final class Wrong extends Exception {
    private static final long serialVersionUID = 1L;

    Wrong(String message) {
      super(message);
    }
  }

  public static Settings load(String file) throws Wrong {
    try {
      return parse(new TomlMapper().readTree(new File(file)));
    } catch (IOException e) {
      String first = String.valueOf(e.getMessage()).split("\n", 2)[0];
      throw new Wrong("the file can't be read as TOML: " + first);
    }
  }

  /** Checks a tree of settings. */
  public static Settings parse(JsonNode n) throws Wrong {
    List<Peer> peers = new ArrayList<>();
    int i = 0;
    for (JsonNode p : list(n, "peers", "peers")) {
      String at = "peers[" + i++ + "].";
      peers.add(new Peer(text(p, "member", at), text(p, "zone", at), address(p, "address", at)));
    }
    JsonNode outside = table(n, "outside");
    JsonNode d = table(n, "deployment");
    JsonNode workers = table(d, "workers", "deployment.");
    JsonNode state = table(d, "state", "deployment.");
    JsonNode next =
        state.has("next") ? table(state, "next", "deployment.state.") : state.path("next");
    JsonNode cloud = table(d, "cloud", "deployment.");
    JsonNode resources = table(d, "resources", "deployment.");
    List<Team> teams = new ArrayList<>();
    i = 0;
    for (JsonNode t : list(d, "teams", "deployment.teams")) {
      String at = "deployment.teams[" + i++ + "].";
      String name = text(t, "name", at);
      if (teams.stream().anyMatch(other -> other.name().equals(name))) {
        throw new Wrong(at + "name: there are two teams " + name);
      }
      double[] cpus = limits(t, "cpus", at);
      double[] gpus = limits(t, "gpus", at);
      teams.add(new Team(name, cpus[0], cpus[1], gpus[0], gpus[1]));
    }
    if (teams.isEmpty()) {
      throw new Wrong("deployment.teams is missing or empty");
    }
    Map<String, Double> waits = new HashMap<>();
    Map<String, List<Double>> steps = new HashMap<>();
    Map<String, Double> finishes = new HashMap<>();
    i = 0;
    for (JsonNode o : list(d, "objectives", "deployment.objectives")) {
      String at = "deployment.objectives[" + i++ + "].";
      if (o.path("kind").asText().equals("wait") && o.has("class")) {
        String jobClass = text(o, "class", at);
        double within = number(o, "within_s", at, 0);
        waits.merge(jobClass, within, Math::min);
        steps.computeIfAbsent(jobClass, c -> new ArrayList<>()).add(within);
      } else if (o.path("kind").asText().equals("finished") && o.has("class")) {
        finishes.merge(text(o, "class", at), number(o, "within_s", at, 0), Math::min);
      }
    }
    steps.values().forEach(l -> l.sort(null));
    return new Settings(
        text(n, "member", ""),
        text(n, "zone", ""),
        address(n, "api_addr", ""),
        address(n, "mesh_addr", ""),
        List.copyOf(peers),
        address(outside, "cloud", "outside."),
        address(outside, "state", "outside."),
        List.copyOf(teams),
        Map.copyOf(waits),
        steps,
        Map.copyOf(finishes),
        number(workers, "report_s", "deployment.workers.", 0.001),
        number(workers, "lease_s", "deployment.workers.", 0.001),
        number(workers, "cancel_s", "deployment.workers.", 0.001),
        number(state, "rps", "deployment.state.", 0.001),
        number(state, "write_rps", "deployment.state.", 0.001),
        number(state, "value_kb", "deployment.state.", 1),
        (int) number(state, "txn_ops", "deployment.state.", 2),
        number(cloud, "rps", "deployment.cloud.", 0.001),
        number(cloud, "list_lag_s", "deployment.cloud.", 0),
        number(resources, "cpu_share", "deployment.resources.", 0.001),
        (int) number(resources, "max_connections", "deployment.resources.", 16),
        new StateLimits(
            limit(state, next, "write_rps", 0.001),
            limit(state, next, "value_kb", 1),
            (int) limit(state, next, "txn_ops", 3)));
  }

  /** A limit to come; the present one stands where none is given. */
  private static double limit(JsonNode state, JsonNode next, String name, double least)
      throws Wrong {
    return next.has(name)
        ? number(next, name, "deployment.state.next.", least)
        : state.path(name).doubleValue();
  }

  /** What a team is guaranteed and what it may use at most, where 0 means none of either. */
  private static double[] limits(JsonNode t, String name, String at) throws Wrong {
    double least = number(t, name, at, 0);
    double most = number(t, name + "_max", at, 0);
    if (most > 0 && least > most) {
      throw new Wrong(at + name + " must be at most " + name + "_max, which is " + most);
    }
    return new double[] {least, most};
  }

  private static JsonNode list(JsonNode n, String name, String shown) throws Wrong {
    JsonNode v = n.path(name);
    if (!v.isMissingNode() && !v.isArray()) {
      throw new Wrong(shown + " must be a list");
    }
    return v;
  }

  private static JsonNode table(JsonNode n, String name) throws Wrong {
    return table(n, name, "");
  }

  private static JsonNode table(JsonNode n, String name, String at) throws Wrong {
    JsonNode v = n.path(name);
    if (!v.isObject()) {
      throw new Wrong(at + name + " must be a table");
    }
    return v;
  }

  private static String text(JsonNode n, String name, String at) throws Wrong {
    JsonNode v = n.path(name);
    if (!v.isTextual() || v.textValue().isEmpty()) {
      throw new Wrong(at + name + " must be a string that is not empty");
    }
    return v.textValue();
  }

  private static String address(JsonNode n, String name, String at) throws Wrong {
    String s = text(n, name, at);
    int colon = s.lastIndexOf(':');
    try {
      int port = Integer.parseInt(s.substring(colon + 1));
      if (colon > 0 && port >= 0 && port < 65536) {
        return s;
      }
    } catch (NumberFormatException e) {
      // Said below.
    }
    throw new Wrong(at + name + " must be an address like 10.0.0.1:8080");
  }

  private static double number(JsonNode n, String name, String at, double least) throws Wrong {
    JsonNode v = n.path(name);
    if (!v.isNumber() || !(v.doubleValue() >= least)) {
      throw new Wrong(at + name + " must be a number of at least " + least);
    }
    return v.doubleValue();
  }
}

package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Settings.Peer;
import graderelay.config.Settings.StateLimits;
import graderelay.config.Settings.Wrong;
import graderelay.core.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the tree of the platform's file, field by field, and makes {@link Settings} of it. Fields
 * that are not known are ignored. The message of an error names the field by its path.
 */
final class SettingsParser {
  /** The least number that counts as above zero, where zero makes no sense. */
  private static final double ABOVE_ZERO = 0.001;

  private static final double LEAST_VALUE_KB = 1;
  private static final double LEAST_TXN_OPS = 2;
  private static final double LEAST_NEXT_TXN_OPS = 3;
  private static final double LEAST_CONNECTIONS = 16;
  private static final int MOST_PORT = 65535;

  private static final String WORKERS = "deployment.workers.";
  private static final String STATE = "deployment.state.";
  private static final String NEXT = "deployment.state.next.";
  private static final String CLOUD = "deployment.cloud.";
  private static final String RESOURCES = "deployment.resources.";

  /** The service-level objectives by job class, in seconds; see {@link Settings}. */
  private record Objectives(
      Map<String, Double> waits,
      Map<String, List<Double>> waitSteps,
      Map<String, Double> finishes) {}

  /** A team's guarantee and limit of one resource; 0 means none of either. */
  private record GuaranteeAndLimit(double guarantee, double limit) {}

  private SettingsParser() {}

  /** The settings of a tree. */
  static Settings parse(JsonNode tree) throws Wrong {
    // The first mistake in this order is the one that is told.
    List<Peer> peers = peers(tree);
    JsonNode outside = table(tree, "outside", "");
    JsonNode deployment = table(tree, "deployment", "");
    JsonNode workers = table(deployment, "workers", "deployment.");
    JsonNode state = table(deployment, "state", "deployment.");
    JsonNode next = state.has("next") ? table(state, "next", STATE) : state.path("next");
    JsonNode cloud = table(deployment, "cloud", "deployment.");
    JsonNode resources = table(deployment, "resources", "deployment.");
    List<Team> teams = teams(deployment);
    Objectives objectives = objectives(deployment);
    return new Settings(
        text(tree, "member", ""),
        text(tree, "zone", ""),
        address(tree, "api_addr", ""),
        address(tree, "mesh_addr", ""),
        List.copyOf(peers),
        address(outside, "cloud", "outside."),
        address(outside, "state", "outside."),
        List.copyOf(teams),
        Map.copyOf(objectives.waits()),
        objectives.waitSteps(),
        Map.copyOf(objectives.finishes()),
        number(workers, "report_s", WORKERS, ABOVE_ZERO),
        number(workers, "lease_s", WORKERS, ABOVE_ZERO),
        number(workers, "cancel_s", WORKERS, ABOVE_ZERO),
        number(state, "rps", STATE, ABOVE_ZERO),
        number(state, "write_rps", STATE, ABOVE_ZERO),
        number(state, "value_kb", STATE, LEAST_VALUE_KB),
        (int) number(state, "txn_ops", STATE, LEAST_TXN_OPS),
        number(cloud, "rps", CLOUD, ABOVE_ZERO),
        number(cloud, "list_lag_s", CLOUD, 0),
        number(resources, "cpu_share", RESOURCES, ABOVE_ZERO),
        (int) number(resources, "max_connections", RESOURCES, LEAST_CONNECTIONS),
        new StateLimits(
            nextLimit(state, next, "write_rps", ABOVE_ZERO),
            nextLimit(state, next, "value_kb", LEAST_VALUE_KB),
            (int) nextLimit(state, next, "txn_ops", LEAST_NEXT_TXN_OPS)));
  }

  // ---------------------------------------------------------------- lists of tables

  private static List<Peer> peers(JsonNode tree) throws Wrong {
    List<Peer> peers = new ArrayList<>();
    for (JsonNode peer : list(tree, "peers", "peers")) {
      String at = "peers[" + peers.size() + "].";
      peers.add(
          new Peer(text(peer, "member", at), text(peer, "zone", at), address(peer, "address", at)));
    }
    return peers;
  }

  private static List<Team> teams(JsonNode deployment) throws Wrong {
    List<Team> teams = new ArrayList<>();
    for (JsonNode team : list(deployment, "teams", "deployment.teams")) {
      String at = "deployment.teams[" + teams.size() + "].";
      String name = text(team, "name", at);
      if (teams.stream().anyMatch(other -> other.name().equals(name))) {
        throw new Wrong(at + "name: there are two teams " + name);
      }
      GuaranteeAndLimit cpus = guaranteeAndLimit(team, "cpus", at);
      GuaranteeAndLimit gpus = guaranteeAndLimit(team, "gpus", at);
      teams.add(new Team(name, cpus.guarantee(), cpus.limit(), gpus.guarantee(), gpus.limit()));
    }
    if (teams.isEmpty()) {
      throw new Wrong("deployment.teams is missing or empty");
    }
    return teams;
  }

  private static GuaranteeAndLimit guaranteeAndLimit(JsonNode team, String name, String at)
      throws Wrong {
    double guarantee = number(team, name, at, 0);
    double limit = number(team, name + "_max", at, 0);
    if (limit > 0 && guarantee > limit) {
      throw new Wrong(at + name + " must be at most " + name + "_max, which is " + limit);
    }
    return new GuaranteeAndLimit(guarantee, limit);
  }

  /** Objectives of other kinds, or of no class, are for the operators alone. */
  private static Objectives objectives(JsonNode deployment) throws Wrong {
    Map<String, Double> waits = new HashMap<>();
    Map<String, List<Double>> waitSteps = new HashMap<>();
    Map<String, Double> finishes = new HashMap<>();
    int index = 0;
    for (JsonNode objective : list(deployment, "objectives", "deployment.objectives")) {
      String at = "deployment.objectives[" + index++ + "].";
      String kind = objective.path("kind").asText();
      if (kind.equals("wait") && objective.has("class")) {
        String jobClass = text(objective, "class", at);
        double withinS = number(objective, "within_s", at, 0);
        waits.merge(jobClass, withinS, Math::min);
        waitSteps.computeIfAbsent(jobClass, c -> new ArrayList<>()).add(withinS);
      } else if (kind.equals("finished") && objective.has("class")) {
        String jobClass = text(objective, "class", at);
        finishes.merge(jobClass, number(objective, "within_s", at, 0), Math::min);
      }
    }
    waitSteps.values().forEach(steps -> steps.sort(null));
    return new Objectives(waits, waitSteps, finishes);
  }

  /** A limit of the store to come; the present one stays where none is given. */
  private static double nextLimit(JsonNode state, JsonNode next, String name, double least)
      throws Wrong {
    return next.has(name) ? number(next, name, NEXT, least) : state.path(name).doubleValue();
  }

  // ---------------------------------------------------------------- single fields

  /** A list that may be missing; {@code path} is its whole name in messages. */
  private static JsonNode list(JsonNode parent, String name, String path) throws Wrong {
    JsonNode value = parent.path(name);
    if (!value.isMissingNode() && !value.isArray()) {
      throw new Wrong(path + " must be a list");
    }
    return value;
  }

  private static JsonNode table(JsonNode parent, String name, String at) throws Wrong {
    JsonNode value = parent.path(name);
    if (!value.isObject()) {
      throw new Wrong(at + name + " must be a table");
    }
    return value;
  }

  private static String text(JsonNode parent, String name, String at) throws Wrong {
    JsonNode value = parent.path(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new Wrong(at + name + " must be a string that is not empty");
    }
    return value.textValue();
  }

  private static String address(JsonNode parent, String name, String at) throws Wrong {
    String address = text(parent, name, at);
    if (!isAddress(address)) {
      throw new Wrong(at + name + " must be an address like 10.0.0.1:8080");
    }
    return address;
  }

  /** True for a host and a port number with a colon between them. */
  private static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return colon > 0 && port >= 0 && port <= MOST_PORT;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static double number(JsonNode parent, String name, String at, double least) throws Wrong {
    JsonNode value = parent.path(name);
    if (!value.isNumber() || !(value.doubleValue() >= least)) {
      throw new Wrong(at + name + " must be a number of at least " + least);
    }
    return value.doubleValue();
  }
}

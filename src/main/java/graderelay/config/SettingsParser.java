package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.config.Settings.InvalidSettingsException;
import graderelay.config.Settings.Peer;
import graderelay.config.Settings.StoreLimits;
import graderelay.core.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Validates the tree of the platform's settings file field by field and converts it to {@link
 * Settings}. Unknown fields are ignored. Error messages name the field by its path.
 */
final class SettingsParser {
  /** Minimum value of fields that must be positive. */
  private static final double MIN_POSITIVE = 0.001;

  private static final double MIN_VALUE_KIB = 1;
  private static final double MIN_TXN_OPS = 2;
  private static final double MIN_NEXT_TXN_OPS = 3;
  private static final double MIN_CONNECTIONS = 16;
  private static final int MAX_PORT = 65535;

  private static final String WORKERS_PREFIX = "deployment.workers.";
  private static final String STATE_PREFIX = "deployment.state.";
  private static final String NEXT_PREFIX = "deployment.state.next.";
  private static final String CLOUD_PREFIX = "deployment.cloud.";
  private static final String RESOURCES_PREFIX = "deployment.resources.";

  /** Service-level objectives by job class, in seconds; see {@link Settings}. */
  private record Objectives(
      Map<String, Double> startObjectivesS,
      Map<String, List<Double>> startObjectiveStepsS,
      Map<String, Double> completionObjectivesS) {}

  /** A team's guarantee and limit for one resource; 0 means that there is none. */
  private record GuaranteeAndLimit(double guarantee, double limit) {}

  private SettingsParser() {}

  /** Returns the settings of a tree. */
  static Settings parse(JsonNode tree) throws InvalidSettingsException {
    // The order of the checks decides which of several errors is reported.
    List<Peer> peers = peers(tree);
    JsonNode outside = table(tree, "outside", "");
    JsonNode deployment = table(tree, "deployment", "");
    JsonNode workers = table(deployment, "workers", "deployment.");
    JsonNode state = table(deployment, "state", "deployment.");
    JsonNode next = state.has("next") ? table(state, "next", STATE_PREFIX) : state.path("next");
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
        Map.copyOf(objectives.startObjectivesS()),
        objectives.startObjectiveStepsS(),
        Map.copyOf(objectives.completionObjectivesS()),
        number(workers, "report_s", WORKERS_PREFIX, MIN_POSITIVE),
        number(workers, "lease_s", WORKERS_PREFIX, MIN_POSITIVE),
        number(workers, "cancel_s", WORKERS_PREFIX, MIN_POSITIVE),
        number(state, "rps", STATE_PREFIX, MIN_POSITIVE),
        number(state, "write_rps", STATE_PREFIX, MIN_POSITIVE),
        number(state, "value_kb", STATE_PREFIX, MIN_VALUE_KIB),
        (int) number(state, "txn_ops", STATE_PREFIX, MIN_TXN_OPS),
        number(cloud, "rps", CLOUD_PREFIX, MIN_POSITIVE),
        number(cloud, "list_lag_s", CLOUD_PREFIX, 0),
        number(resources, "cpu_share", RESOURCES_PREFIX, MIN_POSITIVE),
        (int) number(resources, "max_connections", RESOURCES_PREFIX, MIN_CONNECTIONS),
        new StoreLimits(
            nextLimit(state, next, "write_rps", MIN_POSITIVE),
            nextLimit(state, next, "value_kb", MIN_VALUE_KIB),
            (int) nextLimit(state, next, "txn_ops", MIN_NEXT_TXN_OPS)));
  }

  // ---------------------------------------------------------------- lists of tables

  private static List<Peer> peers(JsonNode tree) throws InvalidSettingsException {
    List<Peer> peers = new ArrayList<>();
    for (JsonNode peer : list(tree, "peers", "peers")) {
      String pathPrefix = "peers[" + peers.size() + "].";
      peers.add(
          new Peer(
              text(peer, "member", pathPrefix),
              text(peer, "zone", pathPrefix),
              address(peer, "address", pathPrefix)));
    }
    return peers;
  }

  private static List<Team> teams(JsonNode deployment) throws InvalidSettingsException {
    List<Team> teams = new ArrayList<>();
    for (JsonNode team : list(deployment, "teams", "deployment.teams")) {
      String pathPrefix = "deployment.teams[" + teams.size() + "].";
      String name = text(team, "name", pathPrefix);
      if (teams.stream().anyMatch(other -> other.name().equals(name))) {
        throw new InvalidSettingsException(pathPrefix + "name: duplicate team " + name);
      }
      GuaranteeAndLimit cpus = guaranteeAndLimit(team, "cpus", pathPrefix);
      GuaranteeAndLimit gpus = guaranteeAndLimit(team, "gpus", pathPrefix);
      teams.add(new Team(name, cpus.guarantee(), cpus.limit(), gpus.guarantee(), gpus.limit()));
    }
    if (teams.isEmpty()) {
      throw new InvalidSettingsException("deployment.teams is missing or empty");
    }
    return teams;
  }

  private static GuaranteeAndLimit guaranteeAndLimit(JsonNode team, String name, String pathPrefix)
      throws InvalidSettingsException {
    double guarantee = number(team, name, pathPrefix, 0);
    double limit = number(team, name + "_max", pathPrefix, 0);
    if (limit > 0 && guarantee > limit) {
      throw new InvalidSettingsException(
          pathPrefix + name + " must be at most " + name + "_max, which is " + limit);
    }
    return new GuaranteeAndLimit(guarantee, limit);
  }

  /**
   * Returns the objectives that the scheduler uses. Objectives of other kinds, or without a job
   * class, are informative only.
   */
  private static Objectives objectives(JsonNode deployment) throws InvalidSettingsException {
    Map<String, Double> startObjectivesS = new HashMap<>();
    Map<String, List<Double>> startObjectiveStepsS = new HashMap<>();
    Map<String, Double> completionObjectivesS = new HashMap<>();
    int index = 0;
    for (JsonNode objective : list(deployment, "objectives", "deployment.objectives")) {
      String pathPrefix = "deployment.objectives[" + index++ + "].";
      String kind = objective.path("kind").asText();
      if (kind.equals("wait") && objective.has("class")) {
        String jobClass = text(objective, "class", pathPrefix);
        double withinS = number(objective, "within_s", pathPrefix, 0);
        startObjectivesS.merge(jobClass, withinS, Math::min);
        startObjectiveStepsS.computeIfAbsent(jobClass, c -> new ArrayList<>()).add(withinS);
      } else if (kind.equals("finished") && objective.has("class")) {
        String jobClass = text(objective, "class", pathPrefix);
        completionObjectivesS.merge(
            jobClass, number(objective, "within_s", pathPrefix, 0), Math::min);
      }
    }
    startObjectiveStepsS.values().forEach(steps -> steps.sort(null));
    return new Objectives(startObjectivesS, startObjectiveStepsS, completionObjectivesS);
  }

  /** Returns the next value of a limit of the store; the present value if no next one is given. */
  private static double nextLimit(JsonNode state, JsonNode next, String name, double min)
      throws InvalidSettingsException {
    return next.has(name) ? number(next, name, NEXT_PREFIX, min) : state.path(name).doubleValue();
  }

  // ---------------------------------------------------------------- single fields

  /** Returns an optional list; {@code path} is its full path in error messages. */
  private static JsonNode list(JsonNode parent, String name, String path)
      throws InvalidSettingsException {
    JsonNode value = parent.path(name);
    if (!value.isMissingNode() && !value.isArray()) {
      throw new InvalidSettingsException(path + " must be a list");
    }
    return value;
  }

  private static JsonNode table(JsonNode parent, String name, String pathPrefix)
      throws InvalidSettingsException {
    JsonNode value = parent.path(name);
    if (!value.isObject()) {
      throw new InvalidSettingsException(pathPrefix + name + " must be a table");
    }
    return value;
  }

  private static String text(JsonNode parent, String name, String pathPrefix)
      throws InvalidSettingsException {
    JsonNode value = parent.path(name);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new InvalidSettingsException(pathPrefix + name + " must be a string that is not empty");
    }
    return value.textValue();
  }

  private static String address(JsonNode parent, String name, String pathPrefix)
      throws InvalidSettingsException {
    String address = text(parent, name, pathPrefix);
    if (!isAddress(address)) {
      throw new InvalidSettingsException(
          pathPrefix + name + " must be an address like 10.0.0.1:8080");
    }
    return address;
  }

  /** Returns true for text of the form {@code host:port}. */
  private static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return colon > 0 && port >= 0 && port <= MAX_PORT;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static double number(JsonNode parent, String name, String pathPrefix, double min)
      throws InvalidSettingsException {
    JsonNode value = parent.path(name);
    if (!value.isNumber() || !(value.doubleValue() >= min)) {
      throw new InvalidSettingsException(
          pathPrefix + name + " must be a number of at least " + min);
    }
    return value.doubleValue();
  }
}

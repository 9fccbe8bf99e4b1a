package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.Feature;
import graderelay.features.FeatureRange;
import graderelay.features.UpgradePolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Options of a deployment in addition to the platform's settings, from a file that is shipped with
 * the program ({@code deploy/options.toml}). Without this file, feature upgrades are disabled: the
 * program joins a cluster of any feature level that it supports, but neither publishes its
 * supported levels nor raises the cluster's level.
 *
 * @param upgradePolicy how the cluster's feature level is raised, or null if it is never raised
 * @param supportedLevels the feature levels that this program declares as supported
 */
public record Options(UpgradePolicy upgradePolicy, FeatureRange supportedLevels) {
  /**
   * Default time for which all controllers must have been running unchanged before the feature
   * level is raised: long enough to notice and roll back an upgrade that fails at startup.
   */
  private static final double DEFAULT_SOAK_S = 30;

  /** Maximum soak time, in seconds. */
  private static final double MAX_SOAK_S = 86_400;

  private static final Set<String> TABLES = Set.of("features");
  private static final Set<String> FIELDS = Set.of("min_level", "max_level", "finalize", "soak_s");

  /** Returns the options that apply without an options file. */
  public static Options defaults() {
    return new Options(null, FeatureRange.ofThisProgram());
  }

  /** Reads and validates an options file. */
  public static Options load(String file) throws Settings.InvalidSettingsException {
    return parse(TomlFile.read(file));
  }

  /** Validates a tree of options; unknown fields are errors. */
  public static Options parse(JsonNode tree) throws Settings.InvalidSettingsException {
    checkNames(tree, "", TABLES);
    if (!tree.has("features")) {
      return defaults();
    }
    JsonNode features = tree.get("features");
    if (!features.isObject()) {
      throw new Settings.InvalidSettingsException("features must be a table");
    }
    checkNames(features, "features.", FIELDS);
    int min = level(features, "min_level", Feature.BASE_LEVEL);
    int max = level(features, "max_level", Feature.LATEST_LEVEL);
    if (min > max) {
      throw new Settings.InvalidSettingsException(
          "features.min_level is " + min + ", above features.max_level, which is " + max);
    }
    UpgradePolicy policy = new UpgradePolicy(isAutomatic(features), soakS(features));
    return new Options(policy, new FeatureRange(min, max));
  }

  private static void checkNames(JsonNode table, String pathPrefix, Set<String> names)
      throws Settings.InvalidSettingsException {
    for (var fields = table.fieldNames(); fields.hasNext(); ) {
      String name = fields.next();
      if (!names.contains(name)) {
        throw new Settings.InvalidSettingsException(
            pathPrefix + name + " is not known; known names: " + sorted(names));
      }
    }
  }

  private static String sorted(Set<String> names) {
    List<String> all = new ArrayList<>(names);
    all.sort(null);
    return String.join(", ", all);
  }

  /**
   * Returns a feature level, which is given as a number or as the name of the feature that it
   * introduces.
   */
  private static int level(JsonNode features, String name, int defaultLevel)
      throws Settings.InvalidSettingsException {
    JsonNode value = features.path(name);
    if (value.isMissingNode()) {
      return defaultLevel;
    }
    if (value.isTextual()) {
      return Feature.byExternalName(value.textValue())
          .orElseThrow(
              () ->
                  new Settings.InvalidSettingsException(
                      "features." + name + ": " + unknownFeature(value)))
          .level();
    }
    if (!value.isInt()
        || value.intValue() < Feature.BASE_LEVEL
        || value.intValue() > Feature.LATEST_LEVEL) {
      throw new Settings.InvalidSettingsException(
          "features."
              + name
              + " must be a feature level from "
              + Feature.BASE_LEVEL
              + " to "
              + Feature.LATEST_LEVEL
              + ", or a feature's name");
    }
    return value.intValue();
  }

  private static String unknownFeature(JsonNode value) {
    List<String> names = new ArrayList<>();
    for (Feature feature : Feature.values()) {
      names.add(feature.externalName());
    }
    return value.textValue() + " is not a feature; known features: " + String.join(", ", names);
  }

  private static boolean isAutomatic(JsonNode features) throws Settings.InvalidSettingsException {
    String value = features.path("finalize").asText("automatic");
    if (!value.equals("automatic") && !value.equals("manual")) {
      throw new Settings.InvalidSettingsException(
          "features.finalize must be \"automatic\" or \"manual\"");
    }
    return value.equals("automatic");
  }

  private static double soakS(JsonNode features) throws Settings.InvalidSettingsException {
    JsonNode value = features.path("soak_s");
    if (value.isMissingNode()) {
      return DEFAULT_SOAK_S;
    }
    if (!value.isNumber() || !(value.doubleValue() >= 0 && value.doubleValue() <= MAX_SOAK_S)) {
      throw new Settings.InvalidSettingsException(
          "features.soak_s must be a number from 0 to " + (long) MAX_SOAK_S);
    }
    return value.doubleValue();
  }
}

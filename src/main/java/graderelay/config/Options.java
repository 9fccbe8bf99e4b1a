package graderelay.config;

import com.fasterxml.jackson.databind.JsonNode;
import graderelay.features.Feature;
import graderelay.features.FeatureRange;
import graderelay.features.UpgradePolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * What a deployment switches on beside the platform's settings, from a file that comes with the
 * program ({@code deploy/options.toml}). Without one everything new is off: the program takes part
 * in a cluster of any feature level that it supports, but publishes nothing and raises nothing.
 *
 * @param features how the cluster's feature level rises, or null if it is left alone
 * @param supported the feature levels that this program says it supports
 */
public record Options(UpgradePolicy features, FeatureRange supported) {
  /**
   * Seconds for which all controllers must have been up as they are before the feature level rises:
   * long enough for an upgrade that fails at its start to be noticed and rolled back.
   */
  private static final double FEATURE_SOAK_S = 30;

  /** Longest soak time that may be set, in seconds. */
  private static final double MOST_SOAK_S = 86_400;

  private static final Set<String> TABLES = Set.of("features");
  private static final Set<String> FIELDS = Set.of("min_level", "max_level", "finalize", "soak_s");

  /** Everything new is off. */
  public static Options none() {
    return new Options(null, FeatureRange.ofThisProgram());
  }

  /** The options of a file. */
  public static Options load(String file) throws Settings.Wrong {
    return parse(TomlFile.read(file));
  }

  /** Checks a tree of options; a field that is not known is a mistake here. */
  public static Options parse(JsonNode tree) throws Settings.Wrong {
    checkNames(tree, "", TABLES);
    if (!tree.has("features")) {
      return none();
    }
    JsonNode features = tree.get("features");
    if (!features.isObject()) {
      throw new Settings.Wrong("features must be a table");
    }
    checkNames(features, "features.", FIELDS);
    int min = level(features, "min_level", Feature.BASE_LEVEL);
    int max = level(features, "max_level", Feature.LATEST_LEVEL);
    if (min > max) {
      throw new Settings.Wrong(
          "features.min_level is " + min + ", above features.max_level, which is " + max);
    }
    UpgradePolicy policy = new UpgradePolicy(automatic(features), soakS(features));
    return new Options(policy, new FeatureRange(min, max));
  }

  private static void checkNames(JsonNode table, String at, Set<String> names)
      throws Settings.Wrong {
    for (var fields = table.fieldNames(); fields.hasNext(); ) {
      String name = fields.next();
      if (!names.contains(name)) {
        throw new Settings.Wrong(at + name + " is not known; there are " + sorted(names));
      }
    }
  }

  private static String sorted(Set<String> names) {
    List<String> all = new ArrayList<>(names);
    all.sort(null);
    return String.join(", ", all);
  }

  /** A feature level, as a number or as the name of the feature that begins with it. */
  private static int level(JsonNode features, String name, int otherwise) throws Settings.Wrong {
    JsonNode value = features.path(name);
    if (value.isMissingNode()) {
      return otherwise;
    }
    if (value.isTextual()) {
      return Feature.byExternalName(value.textValue())
          .orElseThrow(() -> new Settings.Wrong("features." + name + ": " + unknownFeature(value)))
          .level();
    }
    if (!value.isInt()
        || value.intValue() < Feature.BASE_LEVEL
        || value.intValue() > Feature.LATEST_LEVEL) {
      throw new Settings.Wrong(
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
    return value.textValue() + " is not a feature; there are " + String.join(", ", names);
  }

  private static boolean automatic(JsonNode features) throws Settings.Wrong {
    String value = features.path("finalize").asText("automatic");
    if (!value.equals("automatic") && !value.equals("manual")) {
      throw new Settings.Wrong("features.finalize must be \"automatic\" or \"manual\"");
    }
    return value.equals("automatic");
  }

  private static double soakS(JsonNode features) throws Settings.Wrong {
    JsonNode value = features.path("soak_s");
    if (value.isMissingNode()) {
      return FEATURE_SOAK_S;
    }
    if (!value.isNumber() || !(value.doubleValue() >= 0 && value.doubleValue() <= MOST_SOAK_S)) {
      throw new Settings.Wrong("features.soak_s must be a number from 0 to " + (long) MOST_SOAK_S);
    }
    return value.doubleValue();
  }
}

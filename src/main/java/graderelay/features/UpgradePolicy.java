package graderelay.features;

/**
 * How a cluster goes to a higher level.
 *
 * @param automatic without an operator's word, once the conditions are met
 * @param soakS seconds for which all controllers must have been up as they are
 */
public record UpgradePolicy(boolean automatic, double soakS) {}

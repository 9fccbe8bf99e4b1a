package graderelay.features;

/**
 * How a cluster goes to a higher level.
 *
 * @param automatic true if it goes there without an operator's request, once the conditions are met
 * @param soakS seconds for which all controllers must have been up as they are
 */
public record UpgradePolicy(boolean automatic, double soakS) {}

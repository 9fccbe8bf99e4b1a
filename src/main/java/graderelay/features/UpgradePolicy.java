package graderelay.features;

/**
 * The policy for raising the cluster's feature level.
 *
 * @param automatic true if the level is raised without an operator's request once the conditions
 *     are met
 * @param soakS seconds for which all controllers must have been up without a restart
 */
public record UpgradePolicy(boolean automatic, double soakS) {}

/**
 * Rolling upgrades and downgrades by feature levels: each controller publishes the levels that its
 * program supports, the leader raises the cluster's level once all of them support a higher one,
 * and every controller asks the {@link graderelay.features.FeatureGate} before it uses a feature.
 * Pure: stored records, probes and the clock come in through interfaces.
 */
package graderelay.features;

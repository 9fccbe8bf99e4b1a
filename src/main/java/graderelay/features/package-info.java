/**
 * Rolling upgrades and downgrades by feature levels: each controller publishes the levels that its
 * program supports, the leader raises the cluster's level once all controllers support a higher
 * one, and every controller checks the {@link graderelay.features.FeatureGate} before it uses a
 * feature. Stored records, probes and the clock are accessed through interfaces only.
 */
package graderelay.features;

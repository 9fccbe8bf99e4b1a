package graderelay.features;

/**
 * What a controller has published of itself.
 *
 * @param name the controller's name
 * @param version the program's version, for people
 * @param range the feature levels that it supports
 * @param incarnation tells the process that published it from earlier and later ones
 * @param startedAtMs the time of day at which that process began, in milliseconds since the epoch
 * @param revision the version of the record, the condition of a finalization
 */
public record Member(
    String name,
    String version,
    FeatureRange range,
    String incarnation,
    long startedAtMs,
    long revision) {}

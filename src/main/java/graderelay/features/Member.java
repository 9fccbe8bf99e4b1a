package graderelay.features;

/**
 * The published record of a controller.
 *
 * @param name the controller's name
 * @param version the program's version, for display only
 * @param range the feature levels that the program supports
 * @param incarnation distinguishes the process that published the record from others of this
 *     controller
 * @param startedAtMs the start time of that process, in milliseconds since the epoch
 * @param revision the revision of the record, on which a finalization is conditioned
 */
public record Member(
    String name,
    String version,
    FeatureRange range,
    String incarnation,
    long startedAtMs,
    long revision) {}

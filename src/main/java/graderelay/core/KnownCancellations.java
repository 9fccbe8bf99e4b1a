package graderelay.core;

import java.util.List;

/**
 * The cancellations known to a controller, as it sends them to another controller.
 *
 * @param complete true if it includes every cancellation that this controller, in this or an
 *     earlier process, has confirmed to users
 * @param processUptimeS seconds since its process started; cancellations known to earlier processes
 *     are lost
 * @param knownUntilAgeS seconds since the time up to which the list includes every cancellation
 *     that any controller has confirmed, or negative if there is no such time
 * @param jobs the ids of cancelled jobs that may still be running
 */
public record KnownCancellations(
    boolean complete, double processUptimeS, double knownUntilAgeS, List<String> jobs) {
  /** No cancellations are known; the receiver must not conclude that there are none. */
  public static final KnownCancellations NONE = new KnownCancellations(false, 0, -1, List.of());
}

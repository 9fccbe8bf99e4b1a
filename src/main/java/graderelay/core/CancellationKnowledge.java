package graderelay.core;

import java.util.List;

/**
 * What a controller tells another of the cancellations that it knows.
 *
 * @param complete nothing is missing of what it or an earlier process of it has told users
 * @param processS seconds since its process began, which has forgotten what was before
 * @param knownS seconds since the time up to which it knows what anybody told, or less than 0
 * @param jobs the cancelled jobs that may still run
 */
public record CancellationKnowledge(
    boolean complete, double processS, double knownS, List<String> jobs) {
  /** Says nothing at all. */
  public static final CancellationKnowledge NONE =
      new CancellationKnowledge(false, 0, -1, List.of());
}

package graderelay.core;

import java.util.List;

/**
 * What a controller tells another of the cancellations that it knows.
 *
 * @param complete true if nothing is missing of what it, or an earlier process of it, has confirmed
 *     to users
 * @param processS seconds since its process began; what was known before that is lost
 * @param knownS seconds since the time up to which it knows what any controller confirmed, or less
 *     than 0 if there is none
 * @param jobs the cancelled jobs that may still run
 */
public record CancellationKnowledge(
    boolean complete, double processS, double knownS, List<String> jobs) {
  /** No knowledge: the receiver can conclude nothing from it. */
  public static final CancellationKnowledge NONE =
      new CancellationKnowledge(false, 0, -1, List.of());
}

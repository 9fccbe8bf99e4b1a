package graderelay.features;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A controller that keeps the cluster from another feature level.
 *
 * @param member the controller's name
 * @param reason the rest of a sentence that begins with the name
 */
public record Blocker(String member, String reason) {
  /** All blockers in one line, for operators. */
  static String describe(List<Blocker> blockers) {
    return blockers.stream().map(Blocker::toString).collect(Collectors.joining("; "));
  }

  @Override
  public String toString() {
    return member + " " + reason;
  }
}

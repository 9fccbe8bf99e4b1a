package graderelay.features;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A controller that prevents a change of the cluster's feature level.
 *
 * @param member the controller's name
 * @param reason the reason, as a predicate whose subject is the name
 */
public record Blocker(String member, String reason) {
  /** Joins all blockers into one line for operators. */
  static String describe(List<Blocker> blockers) {
    return blockers.stream().map(Blocker::toString).collect(Collectors.joining("; "));
  }

  @Override
  public String toString() {
    return member + " " + reason;
  }
}

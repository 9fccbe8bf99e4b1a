package graderelay.state;

/** How fresh the copy of the records is, in times of the event loop's clock. */
final class Freshness {
  private double linearizableAt = Double.NEGATIVE_INFINITY;
  private double completeAsOf = Double.NEGATIVE_INFINITY;

  /** Every change that had committed before this time has been seen. */
  double linearizableAt() {
    return linearizableAt;
  }

  /**
   * Every record that had committed before this time is in the copy. It is older than {@link
   * #linearizableAt} while only the election's records were read, and jobs are missing.
   */
  double completeAsOf() {
    return completeAsOf;
  }

  /** A read that was sent at {@code sentAt} has shown all changes until then. */
  void onRead(double sentAt, boolean copyIsComplete) {
    linearizableAt = Math.max(linearizableAt, sentAt);
    if (copyIsComplete) {
      completeAsOf = linearizableAt;
    }
  }

  /** The copy has become complete. */
  void onLoaded() {
    completeAsOf = linearizableAt;
  }
}

package graderelay.state;

/** How up to date the cache of the records is; all times are on the event loop's clock. */
final class Freshness {
  private double linearizableAsOf = Double.NEGATIVE_INFINITY;
  private double completeAsOf = Double.NEGATIVE_INFINITY;

  /** The time before which every committed change has been seen. */
  double linearizableAsOf() {
    return linearizableAsOf;
  }

  /**
   * The time before which every committed record is in the cache. It is older than {@link
   * #linearizableAsOf} while only the election records have been loaded and jobs are missing.
   */
  double completeAsOf() {
    return completeAsOf;
  }

  /** Called when a read sent at {@code sentAt} has returned all changes until then. */
  void onRead(double sentAt, boolean isFullyLoaded) {
    linearizableAsOf = Math.max(linearizableAsOf, sentAt);
    if (isFullyLoaded) {
      completeAsOf = linearizableAsOf;
    }
  }

  /** Called when all records have been loaded. */
  void onLoaded() {
    completeAsOf = linearizableAsOf;
  }
}

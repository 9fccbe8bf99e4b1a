package graderelay.state;

/** Handles the results of reads of changes. */
interface ChangeHandler {
  /**
   * Called when a read of changes has ended.
   *
   * @param afterRevision the revision after which changes were requested
   * @param sentAt when the request was sent; a response has every change committed before that
   * @return true if the cache now contains every change committed before {@code sentAt}
   */
  boolean onChangesRead(StoreResult result, long afterRevision, double sentAt);
}

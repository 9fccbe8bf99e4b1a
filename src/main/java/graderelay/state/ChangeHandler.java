package graderelay.state;

/** Takes the answers to reads of changes. */
interface ChangeHandler {
  /**
   * A read of changes has ended.
   *
   * @param after the revision after which it asked for changes
   * @param sentAt when it was sent: every change that had committed before is in its answer
   * @return true if the copy has now seen every change that had committed before {@code sentAt}
   */
  boolean onChangesRead(StoreResult result, long after, double sentAt);
}

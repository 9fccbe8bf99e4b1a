package graderelay.state;

/** Takes the answers to reads of changes. */
interface ChangeHandler {
  /**
   * A read of changes has ended.
   *
   * @param sentAt when it was sent: every change that had committed before is in its answer
   */
  void onChangesRead(StoreResult result, double sentAt);
}

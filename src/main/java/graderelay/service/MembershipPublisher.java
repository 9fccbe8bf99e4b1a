package graderelay.service;

import graderelay.features.Member;
import graderelay.net.Loop;
import graderelay.net.TokenBucket.Use;
import graderelay.state.Cache;
import graderelay.state.FeatureRecords;
import graderelay.state.StateClient;
import graderelay.state.Transaction;
import graderelay.wire.FeatureCodec;
import java.util.function.Consumer;

/**
 * Publishes the feature levels that this process supports, in a record that replaces that of an
 * earlier process of the same controller. If a later process replaces the record, this process has
 * been superseded and must exit.
 */
final class MembershipPublisher {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Member self;
  private final Consumer<String> onSuperseded;
  private boolean isPublishing;

  /**
   * Creates the publisher.
   *
   * @param self the membership to publish
   * @param onSuperseded called with the reason when this process must exit
   */
  MembershipPublisher(
      Loop loop, StateClient state, Cache cache, Member self, Consumer<String> onSuperseded) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.onSuperseded = onSuperseded;
  }

  /**
   * Publishes the record unless it already belongs to this process; must be called periodically and
   * after each change of the records.
   */
  void checkRecord() {
    FeatureRecords records = cache.features();
    if (!cache.isLoaded() || isPublishing || !records.gate().isOpen()) {
      return;
    }
    Member stored = records.members().get(self.name());
    if (stored != null && stored.incarnation().equals(self.incarnation())) {
      return;
    }
    if (stored != null && stored.startedAtMs() > self.startedAtMs()) {
      onSuperseded.accept("a later process is running as controller " + self.name());
    } else {
      // This also replaces the record of an earlier process whose delayed write has been executed
      // after that of this process.
      publish(records.memberRevision(self.name()));
    }
  }

  /**
   * Writes the record on condition that its revision is unchanged, so that a delayed write of an
   * earlier process cannot overwrite that of a later one.
   */
  private void publish(long revision) {
    isPublishing = true;
    String key = FeatureCodec.memberKey(self.name());
    state.commit(
        new Transaction().when(key, revision).put(key, FeatureCodec.encodeMember(self)),
        Use.SUBMISSION,
        result ->
            cache.catchUp(
                caughtUp -> {
                  isPublishing = false;
                  if (caughtUp) {
                    checkRecord();
                  } else {
                    loop.after(StateClient.RETRY_DELAY_S, this::checkRecord);
                  }
                }));
  }
}

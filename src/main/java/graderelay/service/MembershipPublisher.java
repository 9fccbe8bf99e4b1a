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
 * Publishes the feature levels that this process supports, in a record that replaces the one of an
 * earlier process of the same controller. If a later process replaces it in turn, this one has been
 * taken for dead, and leaves.
 */
final class MembershipPublisher {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Member self;
  private final Consumer<String> superseded;
  private boolean sending;

  /**
   * Makes the publisher.
   *
   * @param self what to publish
   * @param superseded hears why this process has to leave
   */
  MembershipPublisher(
      Loop loop, StateClient state, Cache cache, Member self, Consumer<String> superseded) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.superseded = superseded;
  }

  /** Publishes unless the record is this process's; to be called after changes and regularly. */
  void checkRecord() {
    FeatureRecords records = cache.features();
    if (!cache.isLoaded() || sending || !records.gate().isOpen()) {
      return;
    }
    Member stored = records.members().get(self.name());
    if (stored != null && stored.incarnation().equals(self.incarnation())) {
      return;
    }
    if (stored != null && stored.startedAtMs() > self.startedAtMs()) {
      superseded.accept("a later process runs as " + self.name());
    } else {
      // Also over a record of an earlier process whose write was carried out late.
      publish(records.memberRevision(self.name()));
    }
  }

  /**
   * Conditioned on the record's revision: a late write of an earlier process must not undo ours.
   */
  private void publish(long revision) {
    sending = true;
    String key = FeatureCodec.memberKey(self.name());
    state.commit(
        new Transaction().when(key, revision).put(key, FeatureCodec.encodeMember(self)),
        Use.SUBMISSION,
        result ->
            cache.catchUp(
                caughtUp -> {
                  sending = false;
                  if (caughtUp) {
                    checkRecord();
                  } else {
                    loop.after(StateClient.RETRY_DELAY_S, this::checkRecord);
                  }
                }));
  }
}

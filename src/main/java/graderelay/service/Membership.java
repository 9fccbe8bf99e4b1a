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
 * Publishes what this process supports, in a record that replaces what an earlier process of the
 * same controller has published. If a later process replaces it in turn, this one has been taken
 * for dead, and leaves.
 */
final class Membership {
  private final Loop loop;
  private final StateClient state;
  private final Cache cache;
  private final Member self;
  private final Consumer<String> superseded;
  private boolean sending;

  /**
   * Makes the duty.
   *
   * @param self what to publish
   * @param superseded hears why this process has to leave
   */
  Membership(Loop loop, StateClient state, Cache cache, Member self, Consumer<String> superseded) {
    this.loop = loop;
    this.state = state;
    this.cache = cache;
    this.self = self;
    this.superseded = superseded;
  }

  /** Looks at the record; to be called after each change and now and then. */
  void look() {
    FeatureRecords records = cache.features();
    if (!cache.loaded() || sending || !records.gate().isOpen()) {
      return;
    }
    Member stored = records.members().get(self.name());
    if (stored != null && stored.incarnation().equals(self.incarnation())) {
      return;
    }
    if (stored != null && stored.beganMs() > self.beganMs()) {
      superseded.accept("a later process runs as " + self.name());
    } else {
      // Also over what an earlier process sent and was carried out late.
      publish(records.memberRevision(self.name()));
    }
  }

  /** On the record as it is: a late copy of what an earlier process sent must not undo ours. */
  private void publish(long revision) {
    sending = true;
    String key = FeatureCodec.memberKey(self.name());
    state.commit(
        new Transaction().when(key, revision).put(key, FeatureCodec.encodeMember(self)),
        Use.SUBMISSION,
        r ->
            cache.catchUp(
                ok -> {
                  sending = false;
                  if (ok) {
                    look();
                  } else {
                    loop.after(StateClient.STATE_RETRY_S, this::look);
                  }
                }));
  }
}

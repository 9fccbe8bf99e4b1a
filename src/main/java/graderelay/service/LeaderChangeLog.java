package graderelay.service;

import graderelay.state.Cache;
import graderelay.wire.StateCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs which controller leads, as each controller reads it from the stored leader record. */
final class LeaderChangeLog {
  private static final Logger LOG = LoggerFactory.getLogger("owner");

  private long loggedRevision;

  /** Logs the leader record if it has changed since the last call. */
  void onElectionChanged(Cache cache) {
    StateCodec.LeaderRecord leader = cache.leader();
    if (leader != null && cache.leaderRevision() != loggedRevision) {
      loggedRevision = cache.leaderRevision();
      LOG.info(
          "the leader record names {} in term {}, revision {}",
          leader.member(),
          leader.term(),
          loggedRevision);
    }
  }
}

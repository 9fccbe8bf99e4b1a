package graderelay.api;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Submissions that come to one follower in a burst, of which it may write only a few at once. */
class SubmissionBurstTest {
  private static final int JOB_COUNT = 60;

  /** Seconds that a follower alone would need, by its share of the changes, are about two. */
  private static final double ACCEPTED_WITHIN_S = 0.7;

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void burstAtOneFollowerIsSharedWithItsPeers(boolean onePeerIsDown) {
    SimWorld w = world(461, 5);
    w.loop.run(10);
    int follower = (w.leader() + 1) % w.size;
    if (onePeerIsDown) {
      w.crash((w.leader() + 2) % w.size);
    }
    List<SimJob> burst = new ArrayList<>();
    for (int i = 0; i < JOB_COUNT; i++) {
      SimJob job = w.users.job(String.format("j-%06d", i), 1, 1, 1, true);
      burst.add(job);
      w.users.submit(follower, job);
    }
    w.loop.run(ACCEPTED_WITHIN_S);
    assertThat(burst).allMatch(job -> job.accepted);
    w.loop.run(90);
    burst.forEach(job -> assertThat(w.users.stage(follower, job.id)).isEqualTo("done"));
    fine(w);
  }
}

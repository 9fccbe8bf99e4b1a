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

/**
 * Tests a burst of submissions to one follower that exceeds the follower's share of the write rate
 * limit: peers have to write some of them.
 */
class SubmissionBurstTest {
  private static final int JOB_COUNT = 60;

  /**
   * Bound in seconds; a follower alone would need about 2 s with its share of the write rate limit.
   */
  private static final double ACCEPTED_WITHIN_S = 0.7;

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void burstAtOneFollowerIsSharedWithItsPeers(boolean onePeerIsDown) {
    SimWorld world = world(461, 5);
    world.loop.run(10);
    int follower = (world.leader() + 1) % world.size;
    if (onePeerIsDown) {
      world.crash((world.leader() + 2) % world.size);
    }
    List<SimJob> burst = new ArrayList<>();
    for (int i = 0; i < JOB_COUNT; i++) {
      SimJob job = world.users.job(String.format("j-%06d", i), 1, 1, 1, true);
      burst.add(job);
      world.users.submit(follower, job);
    }
    world.loop.run(ACCEPTED_WITHIN_S);
    assertThat(burst).allMatch(job -> job.accepted);
    world.loop.run(90);
    burst.forEach(job -> assertThat(world.users.stage(follower, job.id)).isEqualTo("done"));
    fine(world);
  }
}

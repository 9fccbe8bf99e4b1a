package graderelay.scenario;

import static graderelay.sim.WorldAssertions.fine;
import static graderelay.sim.WorldAssertions.world;
import static org.assertj.core.api.Assertions.assertThat;

import graderelay.sim.SimJob;
import graderelay.sim.SimWorld;
import org.junit.jupiter.api.Test;

/** Jobs that may use spot machines in a cloud that has only on-demand ones to give. */
class CloudWithoutSpotMachinesTest {
  private static final double CLOUD_OUTAGE_S = 24;
  private static final double DEADLINE_S = 25;

  @Test
  void arrayThatMissesItsDeadlineInAnOutageOfTheCloudRunsAfterIt() {
    // Guards against an accepted job that never starts (nothing_ran).
    SimWorld world = world(551, 3);
    world.cloud.spotCapacity = 0;
    world.cloud.outage = true;
    SimJob array = world.users.job("j-000001", 4, 2, 5, true);
    array.deadlineS = DEADLINE_S;
    world.users.submit(0, array);
    world.loop.run(CLOUD_OUTAGE_S);
    world.cloud.outage = false;
    world.loop.run(60);
    assertThat(array.firstStart).isNotNaN();
    assertThat(world.users.answer(1, "GET", "/v1/jobs/j-000001", null).path("stage").asText())
        .isEqualTo("done");
    fine(world);
  }
}

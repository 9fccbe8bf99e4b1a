import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A pipeline of two stages is accepted: each job of the second waits for all of the first. While the
 * first stage runs, the leader crashes once and is back at once.
 */
final class WidePipeline {
  private static final int FIRST_STAGE = 1200;
  private static final int SECOND_STAGE = 260;
  private static final int USERS = 24;

  /** Run time of each task of the pipeline. */
  private static final double RUN_S = 4;

  /** kit/more/hunt/LATER: no job is left waiting for so long while a machine has room. */
  private static final double LONGEST_WAIT_S = 90;

  /** Three machines of four CPUs; each task takes one. */
  private static final int SLOTS = 12;

  public static void main(String[] args) throws Exception {
    World.Timing timing = new World.Timing(4, 22, 52, 4);
    // The state service, the workers and the controllers of lakeshore-render-hunt.
    String settings =
        World.lakeshore(timing)
            .replace("rps = 250.0", "rps = 600.0")
            .replace("write_rps = 30.0", "write_rps = 80.0")
            .replace("rps = 2.0", "rps = 3.5")
            .replace("cpu_share = 0.34", "cpu_share = 0.799")
            .replace("ram_mb = 205.0", "ram_mb = 360.0")
            .replace("max_connections = 900", "max_connections = 2102");
    World.play(new World(args[0], timing, 3, 3, settings), WidePipeline::play);
  }

  private static String ref(int number) {
    return String.format("j-%06d", number);
  }

  private static List<String> play(World world) throws Exception {
    world.startAll();
    // Three tasks of somebody else's that go on.
    world.submit(0, World.array("j-900001", 3, 1.0, 300), 300);
    submitAll(world, 1, FIRST_STAGE, null);
    ArrayNode awaits = Net.JSON.createArrayNode();
    for (int i = 1; i <= FIRST_STAGE; i++) {
      awaits.add(ref(i));
    }
    submitAll(world, FIRST_STAGE + 1, SECOND_STAGE, awaits);
    int leader = world.leader();
    world.write("all jobs are accepted; mill-" + leader + " answers the workers");
    if (World.TROUBLE) {
      world.kill(leader);
      world.start(leader);
    }
    final double over = world.time();
    // From here on there is room: no more than a task's run time later.
    if (World.TROUBLE) {
      world.await("a machine has room", RUN_S + 2, () -> world.runningInAll() < SLOTS);
    }
    final double from = world.time();
    for (int n = 0; world.time() < from + LONGEST_WAIT_S; n++) {
      Net.sleep(Math.min(5, Math.max(0.01, from + LONGEST_WAIT_S - world.time())));
      if (world.time() < from + LONGEST_WAIT_S - 2) {
        world.poll(n % 3, ref(FIRST_STAGE));
      }
    }
    long starts = world.startsSince(from);
    world.write(
        String.format(
            "%d tasks have started in the %.1f s from %.1f s on; %d run",
            starts, world.time() - from, from, world.runningInAll()));
    List<String> breaches = new ArrayList<>();
    if (starts == 0) {
      breaches.add(
          String.format(
              "left waiting: the crashed controller was back at %.1f s; from %.1f s on there was"
                  + " room and no task of the waiting jobs of the first stage started",
              over, from));
    }
    return breaches;
  }

  private static void submitAll(World world, int from, int count, ArrayNode awaits)
      throws Exception {
    AtomicInteger next = new AtomicInteger(from);
    AtomicInteger accepted = new AtomicInteger();
    List<Thread> users = new ArrayList<>();
    for (int u = 0; u < USERS; u++) {
      int user = u;
      Thread thread =
          new Thread(
              () -> {
                for (int n = next.getAndIncrement();
                    n < from + count;
                    n = next.getAndIncrement()) {
                  ObjectNode job = World.array(ref(n), 1, 1.0, RUN_S);
                  if (awaits != null) {
                    job.set("awaits", awaits);
                  }
                  world.submit(user % 3, job, RUN_S);
                  accepted.incrementAndGet();
                }
              });
      thread.start();
      users.add(thread);
    }
    for (Thread user : users) {
      user.join();
    }
    if (accepted.get() < count) {
      throw new World.CannotRun("only " + accepted + " of " + count + " jobs were accepted");
    }
  }
}

package graderelay.state;

import static org.assertj.core.api.Assertions.assertThat;

import graderelay.core.SchedulerFixture;
import graderelay.core.TaskBatchKey;
import graderelay.features.FeatureGate;
import graderelay.features.FeatureRange;
import graderelay.net.Exchange;
import graderelay.net.Reply;
import graderelay.net.Transport;
import graderelay.sim.SimLoop;
import graderelay.sim.SimStore;
import graderelay.wire.FinalState;
import graderelay.wire.StateCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** The cache misses no change when a full load overlaps with other reads. */
class CacheReloadTest {
  private static final Predicate<String> NO_PATHS = path -> false;

  private final SimLoop loop = new SimLoop();
  private final SimStore store = new SimStore(loop.process(0, new boolean[1]), 40);

  /** Responses of the store that are held back by the network. */
  private final Deque<Runnable> heldAnswers = new ArrayDeque<>();

  /** Matches the paths whose responses are held back. */
  private Predicate<String> heldPaths = NO_PATHS;

  /** Matches the paths of requests that the store refuses. */
  private Predicate<String> refusedPaths = NO_PATHS;

  private final Cache cache = newCache();

  private Cache newCache() {
    Transport transport = this::call;
    StateClient client =
        new StateClient(
            loop.process(0, new boolean[1]), transport, "store:1", 10_000, 10_000, 10_000, 2);
    return new Cache(
        loop.process(0, new boolean[1]),
        client,
        new FeatureGate(new FeatureRange(0, 0)),
        new IgnoringListener());
  }

  private void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> done) {
    if (refusedPaths.test(path)) {
      loop.after(0.001, () -> done.accept(new Reply(503, new byte[0], true)));
      return;
    }
    String[] pathAndQuery = path.split("\\?", 2);
    String query = pathAndQuery.length > 1 ? pathAndQuery[1] : "";
    Consumer<Exchange.Response> deliverAnswer =
        answer -> {
          Runnable delivery = () -> done.accept(new Reply(answer.status(), answer.body(), true));
          if (heldPaths.test(path)) {
            heldAnswers.add(delivery);
          } else {
            loop.after(0.001, delivery);
          }
        };
    store
        .forNode(new boolean[1])
        .handle(new Exchange(method, pathAndQuery[0], query, body, deliverAnswer));
  }

  private void acceptJob(String id) {
    store.overwrite(
        StateCodec.jobKey(id), StateCodec.encodeJob(SchedulerFixture.array(id, 1), false));
  }

  private void catchUp() {
    cache.catchUp(caughtUp -> {});
    loop.run(0.1);
  }

  @Test
  void jobsAcceptedDuringLoadAreKeptWhenCatchUpReadEndsAfterLoad() {
    acceptJob("j-000001");
    heldPaths = path -> path.contains("slice"); // Task batches are listed last in a load.
    cache.start();
    loop.run(1);
    final Runnable lastLoadAnswer = heldAnswers.remove();
    acceptJob("j-000002"); // Jobs were listed before that; only a catch-up read returns it.
    catchUp();
    assertThat(cache.job("j-000002")).isNotNull();
    heldPaths = path -> path.startsWith("/watch");
    catchUp();
    final Runnable readInFlight = heldAnswers.remove();
    heldPaths = NO_PATHS;
    lastLoadAnswer.run(); // Resets the cache to the revision at which the load began.
    readInFlight.run();
    loop.run(2);
    assertThat(cache.isLoaded()).isTrue();
    assertThat(cache.job("j-000001")).isNotNull();
    assertThat(cache.job("j-000002")).isNotNull();
  }

  @Test
  void catchUpFailsWhenItsReadSpansTheEndOfLoad() {
    heldPaths = path -> path.contains("slice");
    cache.start();
    loop.run(1);
    final Runnable lastLoadAnswer = heldAnswers.remove();
    acceptJob("j-000002");
    catchUp();
    heldPaths = path -> path.startsWith("/watch");
    boolean[] caughtUp = {true};
    cache.catchUp(success -> caughtUp[0] = success);
    loop.run(0.1);
    final Runnable readInFlight = heldAnswers.remove();
    heldPaths = NO_PATHS;
    lastLoadAnswer.run();
    readInFlight.run();
    assertThat(caughtUp[0]).as("the cache lacks j-000002 at this point").isFalse();
    loop.run(2);
    assertThat(cache.job("j-000002")).isNotNull();
  }

  @Test
  void leaderRecordDeletedBeforeRepeatedFirstLoadIsForgotten() {
    store.overwrite(
        StateCodec.LEADER, StateCodec.encodeLeader(new StateCodec.LeaderRecord("m-1", 1, "")));
    refusedPaths = path -> path.contains("slice");
    cache.start();
    loop.run(1);
    assertThat(cache.leader()).isNotNull();
    store.delete(StateCodec.LEADER);
    refusedPaths = NO_PATHS;
    loop.run(10);
    assertThat(cache.isLoaded()).isTrue();
    assertThat(cache.leader()).isNull();
  }

  @Test
  void leaderRecordWrittenDuringFirstLoadIsKept() {
    heldPaths = path -> path.contains("slice");
    cache.start();
    loop.run(1);
    final Runnable lastLoadAnswer = heldAnswers.remove();
    store.overwrite(
        StateCodec.LEADER, StateCodec.encodeLeader(new StateCodec.LeaderRecord("m-1", 1, "")));
    catchUp();
    assertThat(cache.leader()).isNotNull();
    heldPaths = NO_PATHS;
    lastLoadAnswer.run();
    assertThat(cache.leader()).isNotNull();
    loop.run(2);
    assertThat(cache.leader()).isNotNull();
  }

  private static final class IgnoringListener implements RecordListener {
    @Override
    public void onJobChanged(JobEntry job) {}

    @Override
    public void onJobDeleted(String id) {}

    @Override
    public void onTaskBatchChanged(TaskBatchKey key, TaskBatchEntry taskBatch) {}

    @Override
    public void onTaskBatchDeleted(TaskBatchKey key) {}

    @Override
    public void onFinalState(String id, FinalState state) {}

    @Override
    public void onElectionChanged() {}

    @Override
    public void onSettingsChanged() {}

    @Override
    public void onQuotaChanged() {}

    @Override
    public void onDelegateReleased(String member, StateCodec.DelegateRelease release) {}
  }
}

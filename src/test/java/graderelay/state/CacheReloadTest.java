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

/** A copy of the records that is loaded while other reads are on their way misses no change. */
class CacheReloadTest {
  private static final Predicate<String> NONE = path -> false;

  private final SimLoop loop = new SimLoop();
  private final SimStore store = new SimStore(loop.process(0, new boolean[1]), 40);

  /** Answers that the store has given and that the network still holds. */
  private final Deque<Runnable> heldAnswers = new ArrayDeque<>();

  /** Paths whose answers are held. */
  private Predicate<String> holds = NONE;

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
    String[] pathAndQuery = path.split("\\?", 2);
    String query = pathAndQuery.length > 1 ? pathAndQuery[1] : "";
    Consumer<Exchange.Answer> deliver =
        answer -> {
          Runnable delivery = () -> done.accept(new Reply(answer.status(), answer.body(), true));
          if (holds.test(path)) {
            heldAnswers.add(delivery);
          } else {
            loop.after(0.001, delivery);
          }
        };
    store
        .forNode(new boolean[1])
        .handle(new Exchange(method, pathAndQuery[0], query, body, deliver));
  }

  private void accept(String id) {
    store.overwrite(
        StateCodec.jobKey(id), StateCodec.encodeJob(SchedulerFixture.array(id, 1), false));
  }

  private void catchUp() {
    cache.catchUp(caughtUp -> {});
    loop.run(0.1);
  }

  @Test
  void jobsAcceptedDuringLoadAreKeptWhenCatchUpReadCrossesItsEnd() {
    accept("j-000001");
    holds = path -> path.contains("slice"); // The last listing of the load.
    cache.start();
    loop.run(1);
    final Runnable endOfLoad = heldAnswers.remove();
    accept("j-000002"); // Its listing was read before; a catch-up read shows it.
    catchUp();
    assertThat(cache.job("j-000002")).isNotNull();
    holds = path -> path.startsWith("/watch");
    catchUp();
    final Runnable crossingRead = heldAnswers.remove();
    holds = NONE;
    endOfLoad.run(); // The copy is back at the revision at which the load began.
    crossingRead.run();
    loop.run(2);
    assertThat(cache.loaded()).isTrue();
    assertThat(cache.job("j-000001")).isNotNull();
    assertThat(cache.job("j-000002")).isNotNull();
  }

  @Test
  void catchUpReadThatCrossesTheEndOfLoadIsNotTakenForFreshness() {
    holds = path -> path.contains("slice");
    cache.start();
    loop.run(1);
    final Runnable endOfLoad = heldAnswers.remove();
    accept("j-000002");
    catchUp();
    holds = path -> path.startsWith("/watch");
    boolean[] caughtUp = {true};
    cache.catchUp(ok -> caughtUp[0] = ok);
    loop.run(0.1);
    final Runnable crossingRead = heldAnswers.remove();
    holds = NONE;
    endOfLoad.run();
    crossingRead.run();
    assertThat(caughtUp[0]).as("the copy lacks j-000002 at this moment").isFalse();
    loop.run(2);
    assertThat(cache.job("j-000002")).isNotNull();
  }

  private static final class IgnoringListener implements RecordListener {
    @Override
    public void onJob(JobEntry job) {}

    @Override
    public void onJobGone(String id) {}

    @Override
    public void onTaskBatch(TaskBatchKey key, TaskBatchEntry taskBatch) {}

    @Override
    public void onTaskBatchGone(TaskBatchKey key) {}

    @Override
    public void onFinalState(String id, FinalState state) {}

    @Override
    public void onLeader() {}

    @Override
    public void onSettings() {}

    @Override
    public void onQuota() {}

    @Override
    public void onDelegateReleased(String member, StateCodec.DelegateRelease release) {}
  }
}

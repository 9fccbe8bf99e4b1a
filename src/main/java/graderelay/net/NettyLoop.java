package graderelay.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The event loop of a real process: Netty's own thread, which also carries every socket. */
public final class NettyLoop implements Loop {
  private static final Logger LOG = LoggerFactory.getLogger("loop");

  private final EventLoop loop;

  /** Makes a loop of Netty's. */
  public NettyLoop(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public long wallMs() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable task) {
    loop.execute(guarded(task));
  }

  @Override
  public Timer after(double seconds, Runnable task) {
    var future = loop.schedule(guarded(task), (long) (seconds * 1e6), TimeUnit.MICROSECONDS);
    return () -> future.cancel(false);
  }

  /** A mistake in one event must be seen in the log and must not silence the others. */
  private static Runnable guarded(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("an event failed", e);
      }
    };
  }
}

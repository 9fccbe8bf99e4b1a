package graderelay.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The event loop of a controller process: a Netty event loop, which also handles the I/O of all
 * sockets.
 */
public final class NettyLoop implements Loop {
  private static final Logger LOG = LoggerFactory.getLogger("loop");

  private final EventLoop loop;

  /** Wraps a Netty event loop. */
  public NettyLoop(EventLoop loop) {
    this.loop = loop;
  }

  @Override
  public double now() {
    return System.nanoTime() / 1e9;
  }

  @Override
  public long wallClockMs() {
    return System.currentTimeMillis();
  }

  @Override
  public void execute(Runnable task) {
    loop.execute(logExceptions(task));
  }

  @Override
  public Timer schedule(double delayS, Runnable task) {
    var future = loop.schedule(logExceptions(task), (long) (delayS * 1e6), TimeUnit.MICROSECONDS);
    return () -> future.cancel(false);
  }

  /** Wraps a task so that its runtime exceptions are logged and do not affect other tasks. */
  private static Runnable logExceptions(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        LOG.error("uncaught exception in a task of the event loop", e);
      }
    };
  }
}

package graderelay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Makes HTTP/1.1 calls and keeps connections to the outside, with one call at a time on each. Used
 * on the event loop only.
 */
public final class HttpClient implements Transport {
  /**
   * Bytes of a response's body that we take, a bound on a batch: a watch has no limit of its own,
   * and its tree takes several times as much of the heap. Who has missed more reads the records
   * anew, page by page.
   */
  private static final int MOST_RESPONSE = 4 * 1024 * 1024;

  /** Seconds to wait for a connection. */
  private static final double CONNECT_TIMEOUT_S = 1.0;

  private final EventLoop loop;
  private final ConnectionPool pool;

  /** Keeps at most so many idle connections, whoever they lead to. */
  public HttpClient(EventLoop loop, int mostIdle) {
    this.loop = loop;
    this.pool = new ConnectionPool(mostIdle);
  }

  /** Connections that are open now. */
  public int connections() {
    return pool.open();
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> done) {
    PendingCall call = new PendingCall(address, method, path, body, done);
    long timeoutMicros = (long) (timeoutS * 1e6);
    call.timeout(loop.schedule(call::giveUp, timeoutMicros, TimeUnit.MICROSECONDS));
    ClientConnection idle = pool.take(address);
    if (idle != null) {
      idle.send(call);
    } else {
      connect(call);
    }
  }

  /** Sends a call on a new connection. */
  private void connect(PendingCall call) {
    InetSocketAddress server;
    try {
      server = HostPort.parse(call.address);
    } catch (RuntimeException malformed) {
      call.finish(Reply.neverSent());
      return;
    }
    ClientConnection connection = new ClientConnection(call.address, pool);
    bootstrap(connection)
        .connect(server)
        .addListener((ChannelFuture connected) -> onConnected(connected, connection, call));
  }

  private Bootstrap bootstrap(ClientConnection connection) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (CONNECT_TIMEOUT_S * 1000))
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpClientCodec())
                    .addLast(new HttpObjectAggregator(MOST_RESPONSE))
                    .addLast(connection);
              }
            });
  }

  private static void onConnected(
      ChannelFuture connected, ClientConnection connection, PendingCall call) {
    if (!connected.isSuccess()) {
      call.finish(Reply.neverSent());
    } else if (call.isFinished()) {
      connected.channel().close();
    } else {
      connection.connected(connected.channel());
      connection.send(call);
    }
  }
}

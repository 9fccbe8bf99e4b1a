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
 * An HTTP/1.1 client with a pool of connections, each of which carries one call at a time. Confined
 * to the event loop.
 */
public final class HttpClient implements Transport {
  /**
   * Maximum size of a response body. It bounds the batch of changes in a watch response, which has
   * no size limit of its own and whose parsed tree takes several times as much heap. A client that
   * has missed more changes than fit reloads the records page by page.
   */
  private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

  /** Timeout for establishing a connection. */
  private static final double CONNECT_TIMEOUT_S = 1.0;

  private final EventLoop loop;
  private final ConnectionPool pool;

  /**
   * Creates a client.
   *
   * @param maxIdleConnections maximum number of idle connections to all addresses together
   */
  public HttpClient(EventLoop loop, int maxIdleConnections) {
    this.loop = loop;
    this.pool = new ConnectionPool(maxIdleConnections);
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return pool.openCount();
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> onReply) {
    PendingCall call = new PendingCall(address, method, path, body, onReply);
    long timeoutMicros = (long) (timeoutS * 1e6);
    call.timeoutTimer(loop.schedule(call::onTimeout, timeoutMicros, TimeUnit.MICROSECONDS));
    ClientConnection idle = pool.acquire(address);
    if (idle != null) {
      idle.send(call);
    } else {
      connect(call);
    }
  }

  /** Opens a connection and sends the call on it. */
  private void connect(PendingCall call) {
    InetSocketAddress server;
    try {
      server = HostPort.parse(call.address);
    } catch (RuntimeException malformed) {
      call.finish(Reply.notSent());
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
                    .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                    .addLast(connection);
              }
            });
  }

  private static void onConnected(
      ChannelFuture connected, ClientConnection connection, PendingCall call) {
    if (!connected.isSuccess()) {
      call.finish(Reply.notSent());
    } else if (call.isFinished()) {
      connected.channel().close();
    } else {
      connection.onConnected(connected.channel());
      connection.send(call);
    }
  }
}

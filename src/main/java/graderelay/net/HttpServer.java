package graderelay.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * An HTTP/1.1 server on one address. Each request gets exactly one response; idle and stalled
 * connections are closed. Runs on the event loop.
 */
public final class HttpServer {
  /**
   * Length of the accept queue: room for all workers of a fleet, which reconnect at once after a
   * failover.
   */
  private static final int ACCEPT_BACKLOG = 4096;

  /** Maximum length of a request line. */
  private static final int MAX_REQUEST_LINE_BYTES = 4096;

  /** Maximum size of all headers of a request together. */
  private static final int MAX_HEADERS_BYTES = 8192;

  /** Maximum size of the body chunks that the codec emits. */
  private static final int MAX_CHUNK_BYTES = 8192;

  private final EventLoop loop;
  private final Loop clock;
  private final Exchange.Handler handler;
  private final ServerConnections openConnections;
  private Channel serverChannel;

  /**
   * Creates a server, which does not listen yet.
   *
   * @param maxConnections maximum number of open connections; when it is reached, the connection
   *     that has been idle for longest is closed to make room
   */
  public HttpServer(EventLoop loop, Loop clock, int maxConnections, Exchange.Handler handler) {
    this.loop = loop;
    this.clock = clock;
    this.handler = handler;
    this.openConnections = new ServerConnections(clock, maxConnections);
  }

  /** Binds the address, given as host:port; the future fails if the address is not available. */
  public ChannelFuture listen(String address) {
    ChannelFuture bound = bootstrap().bind(HostPort.parse(address));
    bound.addListener(
        (ChannelFuture future) -> {
          if (future.isSuccess()) {
            serverChannel = future.channel();
            openConnections.sweep();
          }
        });
    return bound;
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop, loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel accepted) {
                addHandlers(accepted);
              }
            });
  }

  private void addHandlers(Channel accepted) {
    ServerConnection connection = new ServerConnection(accepted, clock, openConnections, handler);
    accepted
        .pipeline()
        .addLast(connection.firstBytesObserver())
        .addLast(
            new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADERS_BYTES, MAX_CHUNK_BYTES, true))
        .addLast(new RequestAggregator())
        .addLast(connection);
  }

  /** Stops listening and closes all connections. */
  public void close() {
    openConnections.stopSweeping();
    if (serverChannel != null) {
      serverChannel.close();
    }
    openConnections.closeAll();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return openConnections.size();
  }
}

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
 * Listens on one address. Every request gets one answer, and no connection lasts for nothing. Runs
 * on the event loop.
 */
public final class HttpServer {
  /** Connections that may wait to be accepted: those of a whole fleet after a failover. */
  private static final int ACCEPT_BACKLOG = 4096;

  /** Bytes of a request line. */
  private static final int MOST_LINE = 4096;

  /** Bytes of all headers of a request. */
  private static final int MOST_HEADERS = 8192;

  /** Bytes of a body that the codec hands on at once. */
  private static final int MOST_CHUNK = 8192;

  private final EventLoop loop;
  private final Loop clock;
  private final Exchange.Handler handler;
  private final ServerConnections connections;
  private Channel channel;

  /**
   * Makes a server that listens nowhere yet.
   *
   * @param mostConnections connections that may be open at once; the longest idle one makes room
   */
  public HttpServer(EventLoop loop, Loop clock, int mostConnections, Exchange.Handler handler) {
    this.loop = loop;
    this.clock = clock;
    this.handler = handler;
    this.connections = new ServerConnections(clock, mostConnections);
  }

  /** Binds the address, host:port; the future fails if it can't be had. */
  public ChannelFuture listen(String address) {
    ChannelFuture bound = bootstrap().bind(HostPort.parse(address));
    bound.addListener(
        (ChannelFuture future) -> {
          if (future.isSuccess()) {
            channel = future.channel();
            connections.sweep();
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
    ServerConnection connection = new ServerConnection(accepted, clock, connections, handler);
    accepted
        .pipeline()
        .addLast(connection.firstBytesObserver())
        .addLast(new HttpServerCodec(MOST_LINE, MOST_HEADERS, MOST_CHUNK, true))
        .addLast(new RequestAggregator())
        .addLast(connection);
  }

  /** Stops listening and closes all connections. */
  public void close() {
    connections.stopSweeping();
    if (channel != null) {
      channel.close();
    }
    connections.closeAll();
  }

  /** Connections that are open now. */
  public int connections() {
    return connections.size();
  }
}

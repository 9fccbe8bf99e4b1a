package graderelay.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Listens on one address. Every request gets one answer, and no connection lasts for nothing. */
public final class HttpServer {
  /** Bytes of a request's body; a limit of the protocol. */
  private static final int MOST_BODY = 64 * 1024;

  /** Connections that may wait to be accepted: those of a whole fleet after a takeover. */
  private static final int ACCEPT_BACKLOG = 4096;

  /** Bytes of a request line, and of all its headers. */
  private static final int MOST_LINE = 4096;

  private static final int MOST_HEADERS = 8192;

  /** Seconds after which an idle connection is closed. */
  private static final double IDLE_CONNECTION_S = 90;

  /** Seconds in which a request must have arrived whole. */
  private static final double WHOLE_REQUEST_S = 10;

  /** Share of those at which idle ones are closed, the longest idle first. */
  private static final double CONNECTION_SHARE = 0.88;

  /** Seconds between looks at connections. */
  private static final double SWEEP_EVERY_S = 2;

  private final EventLoop loop;
  private final Loop clock;
  private final Exchange.Handler handler;
  private final int mostConnections;
  private final Set<Conn> conns = new LinkedHashSet<>();
  private Channel channel;
  private Loop.Timer sweep;

  public HttpServer(EventLoop loop, Loop clock, int mostConnections, Exchange.Handler handler) {
    this.loop = loop;
    this.clock = clock;
    this.mostConnections = mostConnections;
    this.handler = handler;
  }

  /** Binds the address; the future fails if it can't be had. */
  public ChannelFuture listen(String address) {
    int colon = address.lastIndexOf(':');
    String host = address.substring(0, colon);
    int port = Integer.parseInt(address.substring(colon + 1));
    ServerBootstrap b =
        new ServerBootstrap()
            .group(loop, loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    Conn c = new Conn(ch);
                    ch.pipeline()
                        .addLast(c.new Opening())
                        .addLast(new HttpServerCodec(MOST_LINE, MOST_HEADERS, 8192, true))
                        .addLast(new Whole())
                        .addLast(c);
                  }
                });
    ChannelFuture f = b.bind(new InetSocketAddress(host, port));
    f.addListener(
        (ChannelFuture x) -> {
          if (x.isSuccess()) {
            channel = x.channel();
            sweep();
          }
        });
    return f;
  }

  public void close() {
    if (sweep != null) {
      sweep.cancel();
    }
    if (channel != null) {
      channel.close();
    }
    for (Conn c : new ArrayList<>(conns)) {
      c.channel.close();
    }
  }

  public int connections() {
    return conns.size();
  }

  /** Closes requests that never become whole, idle connections, and more of those if need be. */
  private void sweep() {
    double now = clock.now();
    List<Conn> close = new ArrayList<>();
    for (Conn c : conns) {
      boolean stuck = c.partial && now - c.since > WHOLE_REQUEST_S;
      boolean idle = !c.busy && !c.partial && now - c.since > IDLE_CONNECTION_S;
      if (stuck || idle) {
        close.add(c);
      }
    }
    int over = conns.size() - close.size() - (int) (mostConnections * CONNECTION_SHARE);
    Iterator<Conn> oldest = conns.iterator();
    while (over > 0 && oldest.hasNext()) {
      Conn c = oldest.next();
      if (!c.busy && !close.contains(c)) {
        close.add(c);
        over--;
      }
    }
    close.forEach(c -> c.channel.close());
    sweep = clock.after(SWEEP_EVERY_S, this::sweep);
  }

  /** Makes room for one more connection; false if none is idle. */
  private boolean closeLongestIdle() {
    for (Conn c : conns) {
      if (!c.busy && !c.partial) {
        conns.remove(c);
        c.channel.close();
        return true;
      }
    }
    return false;
  }

  /** A body that is too large is malformed by the protocol, and the rest of it is not read. */
  private static final class Whole extends HttpObjectAggregator {
    Whole() {
      super(MOST_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
      var r =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.BAD_REQUEST,
              Unpooled.copiedBuffer(
                  "{\"error\":\"the body is larger than 64 KiB\"}",
                  java.nio.charset.StandardCharsets.UTF_8));
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, r.content().readableBytes());
      r.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      ctx.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }
  }

  /** One connection. */
  private final class Conn extends SimpleChannelInboundHandler<FullHttpRequest> {
    final Channel channel;
    boolean busy;
    boolean partial;
    double since = clock.now();

    Conn(Channel channel) {
      this.channel = channel;
    }

    /** Sees bytes before they are a request. */
    final class Opening extends ChannelInboundHandlerAdapter {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object msg) throws Exception {
        if (!busy && !partial) {
          partial = true;
          since = clock.now();
        }
        super.channelRead(ctx, msg);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (conns.size() >= mostConnections && !closeLongestIdle()) {
        ctx.close();
        return;
      }
      conns.add(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      conns.remove(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest r) {
      partial = false;
      busy = true;
      since = clock.now();
      boolean keep = HttpUtil.isKeepAlive(r);
      if (r.decoderResult().isFailure()) {
        answer(new Exchange.Answer(400, new byte[0], "application/json", 0, true), false);
        return;
      }
      String uri = r.uri();
      int q = uri.indexOf('?');
      String path = q < 0 ? uri : uri.substring(0, q);
      String query = q < 0 ? "" : uri.substring(q + 1);
      boolean[] once = {false};
      handler.handle(
          new Exchange(
              r.method().name(),
              path,
              query,
              ByteBufUtil.getBytes(r.content()),
              a -> {
                if (!once[0]) {
                  once[0] = true;
                  answer(a, keep);
                }
              }));
    }

    private void answer(Exchange.Answer a, boolean keep) {
      ByteBuf body = Unpooled.wrappedBuffer(a.body());
      var r =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(a.status()), body);
      r.headers().set(HttpHeaderNames.CONTENT_LENGTH, a.body().length);
      r.headers().set(HttpHeaderNames.CONTENT_TYPE, a.type());
      if (a.retryAfterS() > 0) {
        r.headers().set(HttpHeaderNames.RETRY_AFTER, a.retryAfterS());
      }
      boolean close = !keep || a.close();
      if (close) {
        r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      ChannelFuture f = channel.writeAndFlush(r);
      if (close) {
        f.addListener(ChannelFutureListener.CLOSE);
      }
      busy = false;
      since = clock.now();
      if (conns.remove(this)) {
        conns.add(this); // The longest idle ones stay at the front.
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}

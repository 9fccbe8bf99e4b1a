package graderelay.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Keeps connections to the outside, one request at a time on each. */
public final class HttpClient implements Transport {
  /**
   * Bytes of a response's body that we take, a bound on a batch: a watch has no limit of its own,
   * and its tree takes several times as much of the heap. Who has missed more reads the records
   * anew, page by page.
   */
  private static final int MOST_RESPONSE = 4 * 1024 * 1024;

  /** Seconds to wait for a connection. */
  private static final double CONNECT_TIMEOUT_S = 1.0;

  /** Idle connections kept to one address. */
  private static final int KEPT_CONNECTIONS = 4;

  private final EventLoop loop;
  private final Map<String, Deque<Line>> idle = new HashMap<>();

  /** All idle lines, the longest idle first. */
  private final Set<Line> byAge = new LinkedHashSet<>();

  private final int mostIdle;
  private int open;

  /** Keeps at most so many idle connections, whoever they lead to. */
  public HttpClient(EventLoop loop, int mostIdle) {
    this.loop = loop;
    this.mostIdle = mostIdle;
  }

  /** Connections that are open now. */
  public int connections() {
    return open;
  }

  /** The platform counts sockets: there are hundreds of workers, and each is called rarely. */
  private void keep(Line line) {
    byAge.add(line);
    if (byAge.size() > mostIdle) {
      byAge.iterator().next().channel.close();
    }
  }

  @Override
  public void call(
      String address,
      String method,
      String path,
      byte[] body,
      double timeoutS,
      Consumer<Reply> done) {
    Call call = new Call(address, method, path, body, done);
    call.timer = loop.schedule(() -> call.giveUp(), (long) (timeoutS * 1e6), TimeUnit.MICROSECONDS);
    Line line = pooled(address);
    if (line != null) {
      line.send(call);
    } else {
      connect(call);
    }
  }

  private Line pooled(String address) {
    Deque<Line> lines = idle.get(address);
    while (lines != null && !lines.isEmpty()) {
      Line l = lines.pollLast();
      byAge.remove(l);
      if (l.channel.isActive()) {
        return l;
      }
    }
    return null;
  }

  private void connect(Call call) {
    int colon = call.address.lastIndexOf(':');
    InetSocketAddress to;
    try {
      to =
          new InetSocketAddress(
              call.address.substring(0, colon),
              Integer.parseInt(call.address.substring(colon + 1)));
    } catch (RuntimeException e) {
      call.finish(Reply.neverSent());
      return;
    }
    Line line = new Line(call.address);
    Bootstrap b =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) (CONNECT_TIMEOUT_S * 1000))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel ch) {
                    ch.pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(MOST_RESPONSE))
                        .addLast(line);
                  }
                });
    b.connect(to)
        .addListener(
            (io.netty.channel.ChannelFuture f) -> {
              if (!f.isSuccess()) {
                call.finish(Reply.neverSent());
              } else if (call.over) {
                f.channel().close();
              } else {
                line.channel = f.channel();
                line.send(call);
              }
            });
  }

  private static final class Call {
    final String address;
    final String method;
    final String path;
    final byte[] body;
    final Consumer<Reply> done;
    ScheduledFuture<?> timer;
    Line line;
    boolean over;

    Call(String address, String method, String path, byte[] body, Consumer<Reply> done) {
      this.address = address;
      this.method = method;
      this.path = path;
      this.body = body;
      this.done = done;
    }

    void finish(Reply r) {
      if (!over) {
        over = true;
        timer.cancel(false);
        done.accept(r);
      }
    }

    void giveUp() {
      boolean sent = line != null;
      if (sent && !over) {
        line.call = null;
        line.channel.close();
      }
      finish(sent ? Reply.lost() : Reply.neverSent());
    }
  }

  /** One connection. */
  private final class Line extends SimpleChannelInboundHandler<FullHttpResponse> {
    final String address;
    Channel channel;
    Call call;

    Line(String address) {
      this.address = address;
    }

    void send(Call c) {
      call = c;
      c.line = this;
      var request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(c.method),
              c.path,
              c.body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(c.body));
      request.headers().set(HttpHeaderNames.HOST, address);
      if (c.body != null) {
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
      }
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, c.body == null ? 0 : c.body.length);
      channel
          .writeAndFlush(request)
          .addListener(
              f -> {
                if (!f.isSuccess()) {
                  channel.close();
                }
              });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse r) {
      Call c = call;
      call = null;
      boolean keep = HttpUtil.isKeepAlive(r);
      if (!keep || c == null) {
        ctx.close();
      } else {
        Deque<Line> lines = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (lines.size() < KEPT_CONNECTIONS) {
          lines.addLast(this);
          keep(this);
        } else {
          ctx.close();
        }
      }
      if (c != null) {
        c.finish(new Reply(r.status().code(), ByteBufUtil.getBytes(r.content()), true));
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
      open++;
      super.channelActive(ctx);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open--;
      byAge.remove(this);
      Deque<Line> lines = idle.get(address);
      if (lines != null) {
        lines.remove(this);
        if (lines.isEmpty()) {
          idle.remove(address);
        }
      }
      Call c = call;
      call = null;
      if (c != null) {
        c.finish(Reply.lost());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      Call c = call;
      if (cause instanceof TooLongFrameException && c != null) {
        // Asked again it would be as large: whoever asked must ask for less.
        call = null;
        c.finish(Reply.tooLarge());
      }
      ctx.close();
    }
  }
}

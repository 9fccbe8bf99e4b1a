package graderelay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.Consumer;

/**
 * One connection of an {@link HttpServer}: hands whole requests to the handler and writes each one
 * answer. Used on the event loop only.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Seconds after which an idle connection is closed. */
  private static final double IDLE_CONNECTION_S = 90;

  /** Seconds in which a request must have arrived whole. */
  private static final double WHOLE_REQUEST_S = 10;

  private static final Exchange.Answer MALFORMED =
      new Exchange.Answer(400, new byte[0], "application/json", 0, true);

  private final Channel channel;
  private final Loop clock;
  private final ServerConnections connections;
  private final Exchange.Handler handler;

  /** A request is with the handler. */
  private boolean busy;

  /** Some bytes of a request have come, but not the whole request. */
  private boolean partial;

  /** When the present state began, in seconds on the loop's clock. */
  private double since;

  ServerConnection(
      Channel channel, Loop clock, ServerConnections connections, Exchange.Handler handler) {
    this.channel = channel;
    this.clock = clock;
    this.connections = connections;
    this.handler = handler;
    this.since = clock.now();
  }

  /** True while a request is with the handler. */
  boolean isBusy() {
    return busy;
  }

  /** True while the connection carries no request, whole or not. */
  boolean isIdle() {
    return !busy && !partial;
  }

  /** True if a request should have arrived whole by now. */
  boolean isStuck(double now) {
    return partial && now - since > WHOLE_REQUEST_S;
  }

  /** True if the connection has been idle for longer than it may. */
  boolean isIdleForTooLong(double now) {
    return isIdle() && now - since > IDLE_CONNECTION_S;
  }

  void close() {
    channel.close();
  }

  /** The handler that stands before the codec. */
  ChannelInboundHandlerAdapter firstBytesObserver() {
    return new FirstBytesObserver();
  }

  /** Sees bytes before they are a request. */
  private final class FirstBytesObserver extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      if (isIdle()) {
        partial = true;
        since = clock.now();
      }
      super.channelRead(ctx, message);
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    if (!connections.add(this)) {
      ctx.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connections.remove(this);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    partial = false;
    busy = true;
    since = clock.now();
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      answer(MALFORMED, false);
      return;
    }
    handler.handle(exchange(request, once(answer -> answer(answer, keepAlive))));
  }

  private static Exchange exchange(FullHttpRequest request, Consumer<Exchange.Answer> to) {
    String uri = request.uri();
    int questionMark = uri.indexOf('?');
    String path = questionMark < 0 ? uri : uri.substring(0, questionMark);
    String query = questionMark < 0 ? "" : uri.substring(questionMark + 1);
    byte[] body = ByteBufUtil.getBytes(request.content());
    return new Exchange(request.method().name(), path, query, body, to);
  }

  /** Passes the first answer on and ignores the others. */
  private static Consumer<Exchange.Answer> once(Consumer<Exchange.Answer> to) {
    boolean[] answered = {false};
    return answer -> {
      if (!answered[0]) {
        answered[0] = true;
        to.accept(answer);
      }
    };
  }

  private void answer(Exchange.Answer answer, boolean keepAlive) {
    boolean close = !keepAlive || answer.close();
    ChannelFuture written = channel.writeAndFlush(encode(answer, close));
    if (close) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    busy = false;
    since = clock.now();
    connections.answered(this);
  }

  private static DefaultFullHttpResponse encode(Exchange.Answer answer, boolean close) {
    ByteBuf body = Unpooled.wrappedBuffer(answer.body());
    HttpResponseStatus status = HttpResponseStatus.valueOf(answer.status());
    var response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.type());
    if (answer.retryAfterS() > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, answer.retryAfterS());
    }
    if (close) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}

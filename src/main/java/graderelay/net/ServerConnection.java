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
 * A connection of an {@link HttpServer}: passes full requests to the handler and writes one
 * response to each. Confined to the event loop.
 */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  /** Time without a request after which a connection is closed. */
  private static final double IDLE_TIMEOUT_S = 90;

  /** Maximum time from the first byte of a request until the full request has been received. */
  private static final double REQUEST_TIMEOUT_S = 10;

  private static final Exchange.Response BAD_REQUEST =
      new Exchange.Response(400, new byte[0], "application/json", 0, true);

  private final Channel channel;
  private final Loop clock;
  private final ServerConnections connections;
  private final Exchange.Handler handler;

  /** True while the handler is processing a request. */
  private boolean handlingRequest;

  /** True while a request has been received in part. */
  private boolean receivingRequest;

  /** Time of the last change of state, in seconds of the event loop's clock. */
  private double stateSinceS;

  ServerConnection(
      Channel channel, Loop clock, ServerConnections connections, Exchange.Handler handler) {
    this.channel = channel;
    this.clock = clock;
    this.connections = connections;
    this.handler = handler;
    this.stateSinceS = clock.now();
  }

  /** Returns true while the handler is processing a request. */
  boolean isHandlingRequest() {
    return handlingRequest;
  }

  /** Returns true if no request is being received or processed. */
  boolean isIdle() {
    return !handlingRequest && !receivingRequest;
  }

  /** Returns true if a request has been incomplete for longer than the timeout. */
  boolean isRequestTimedOut(double now) {
    return receivingRequest && now - stateSinceS > REQUEST_TIMEOUT_S;
  }

  /** Returns true if the connection has been idle for longer than the timeout. */
  boolean isIdleTimedOut(double now) {
    return isIdle() && now - stateSinceS > IDLE_TIMEOUT_S;
  }

  void close() {
    channel.close();
  }

  /** Returns the handler that precedes the HTTP codec in the pipeline. */
  ChannelInboundHandlerAdapter firstBytesObserver() {
    return new FirstBytesObserver();
  }

  /** Records when the first bytes of a request arrive, before the codec has decoded it. */
  private final class FirstBytesObserver extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
      if (isIdle()) {
        receivingRequest = true;
        stateSinceS = clock.now();
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
    receivingRequest = false;
    handlingRequest = true;
    stateSinceS = clock.now();
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    if (request.decoderResult().isFailure()) {
      respond(BAD_REQUEST, false);
      return;
    }
    handler.handle(exchange(request, firstOnly(response -> respond(response, keepAlive))));
  }

  private static Exchange exchange(FullHttpRequest request, Consumer<Exchange.Response> responder) {
    String uri = request.uri();
    int questionMark = uri.indexOf('?');
    String path = questionMark < 0 ? uri : uri.substring(0, questionMark);
    String query = questionMark < 0 ? "" : uri.substring(questionMark + 1);
    byte[] body = ByteBufUtil.getBytes(request.content());
    return new Exchange(request.method().name(), path, query, body, responder);
  }

  /** Returns a callback that passes on the first response and ignores all others. */
  private static Consumer<Exchange.Response> firstOnly(Consumer<Exchange.Response> responder) {
    boolean[] hasResponded = {false};
    return response -> {
      if (!hasResponded[0]) {
        hasResponded[0] = true;
        responder.accept(response);
      }
    };
  }

  private void respond(Exchange.Response response, boolean keepAlive) {
    boolean close = !keepAlive || response.closeConnection();
    ChannelFuture writeFuture = channel.writeAndFlush(encode(response, close));
    if (close) {
      writeFuture.addListener(ChannelFutureListener.CLOSE);
    }
    handlingRequest = false;
    stateSinceS = clock.now();
    connections.onResponse(this);
  }

  private static DefaultFullHttpResponse encode(Exchange.Response response, boolean close) {
    ByteBuf body = Unpooled.wrappedBuffer(response.body());
    HttpResponseStatus status = HttpResponseStatus.valueOf(response.status());
    var encoded = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
    encoded.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
    encoded.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    if (response.retryAfterS() > 0) {
      encoded.headers().set(HttpHeaderNames.RETRY_AFTER, response.retryAfterS());
    }
    if (close) {
      encoded.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return encoded;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}

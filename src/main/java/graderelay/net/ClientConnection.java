package graderelay.net;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A connection of an {@link HttpClient}, which carries at most one call at a time. Confined to the
 * event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final String address;
  private final ConnectionPool pool;
  private Channel channel;

  /** The call that is awaiting its response, or null. */
  private PendingCall call;

  ClientConnection(String address, ConnectionPool pool) {
    this.address = address;
    this.pool = pool;
  }

  /** Returns the server's address as host:port. */
  String address() {
    return address;
  }

  /** Sets the channel after the connection has been established. */
  void onConnected(Channel connectedChannel) {
    channel = connectedChannel;
  }

  boolean isActive() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /** Sends the request of a call. No other call may be in progress on this connection. */
  void send(PendingCall nextCall) {
    call = nextCall;
    nextCall.onSent(this);
    channel
        .writeAndFlush(encode(nextCall))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                channel.close();
              }
            });
  }

  /** Closes the connection without completing the call in progress. */
  void abandonCall() {
    call = null;
    channel.close();
  }

  private DefaultFullHttpRequest encode(PendingCall call) {
    boolean hasBody = call.body != null;
    ByteBuf body = hasBody ? Unpooled.wrappedBuffer(call.body) : Unpooled.EMPTY_BUFFER;
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method), call.path, body);
    request.headers().set(HttpHeaderNames.HOST, address);
    if (hasBody) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, hasBody ? call.body.length : 0);
    return request;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    PendingCall completedCall = removeCall();
    boolean reusable = HttpUtil.isKeepAlive(response) && completedCall != null;
    if (!reusable || !pool.release(this)) {
      ctx.close();
    }
    if (completedCall != null) {
      byte[] body = ByteBufUtil.getBytes(response.content());
      completedCall.finish(new Reply(response.status().code(), body, true));
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) throws Exception {
    pool.onConnectionOpened();
    super.channelActive(ctx);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.onConnectionClosed(this);
    PendingCall lostCall = removeCall();
    if (lostCall != null) {
      lostCall.finish(Reply.noResponse());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException && call != null) {
      // A retry would be just as large: the caller has to request less data.
      removeCall().finish(Reply.responseTooLarge());
    }
    ctx.close();
  }

  private PendingCall removeCall() {
    PendingCall removed = call;
    call = null;
    return removed;
  }
}

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
 * One connection of an {@link HttpClient}, with at most one call at a time. Used on the event loop
 * only.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  private final String address;
  private final ConnectionPool pool;
  private Channel channel;

  /** The call whose response is awaited, or null. */
  private PendingCall call;

  ClientConnection(String address, ConnectionPool pool) {
    this.address = address;
    this.pool = pool;
  }

  /** The server's address, host:port. */
  String address() {
    return address;
  }

  /** Takes the channel once it is connected. */
  void connected(Channel connectedChannel) {
    channel = connectedChannel;
  }

  boolean isActive() {
    return channel.isActive();
  }

  void close() {
    channel.close();
  }

  /** Sends the request of a call; nothing else may be under way on this connection. */
  void send(PendingCall next) {
    call = next;
    next.sentOn(this);
    channel
        .writeAndFlush(encode(next))
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                channel.close();
              }
            });
  }

  /** Closes the connection without finishing the call that it carries. */
  void abandonCall() {
    call = null;
    channel.close();
  }

  private DefaultFullHttpRequest encode(PendingCall next) {
    boolean hasBody = next.body != null;
    ByteBuf body = hasBody ? Unpooled.wrappedBuffer(next.body) : Unpooled.EMPTY_BUFFER;
    var request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.valueOf(next.method), next.path, body);
    request.headers().set(HttpHeaderNames.HOST, address);
    if (hasBody) {
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    }
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, hasBody ? next.body.length : 0);
    return request;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    PendingCall answered = takeCall();
    boolean reusable = HttpUtil.isKeepAlive(response) && answered != null;
    if (!reusable || !pool.keep(this)) {
      ctx.close();
    }
    if (answered != null) {
      byte[] body = ByteBufUtil.getBytes(response.content());
      answered.finish(new Reply(response.status().code(), body, true));
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) throws Exception {
    pool.opened();
    super.channelActive(ctx);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    PendingCall lost = takeCall();
    if (lost != null) {
      lost.finish(Reply.lost());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException && call != null) {
      // Asked again it would be as large: whoever asked must ask for less.
      takeCall().finish(Reply.tooLarge());
    }
    ctx.close();
  }

  private PendingCall takeCall() {
    PendingCall taken = call;
    call = null;
    return taken;
  }
}

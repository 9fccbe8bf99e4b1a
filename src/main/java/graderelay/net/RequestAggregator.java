package graderelay.net;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/**
 * Makes whole requests of a request's parts. A body that is too large is malformed by the protocol,
 * and the rest of it is not read. Used on the event loop only.
 */
final class RequestAggregator extends HttpObjectAggregator {
  /** Bytes of a request's body; a limit of the protocol. */
  private static final int MOST_BODY = 64 * 1024;

  private static final String TOO_LARGE = "{\"error\":\"the body is larger than 64 KiB\"}";

  RequestAggregator() {
    super(MOST_BODY);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.BAD_REQUEST,
            Unpooled.copiedBuffer(TOO_LARGE, StandardCharsets.UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}

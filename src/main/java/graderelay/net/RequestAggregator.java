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
 * Aggregates the parts of a request into a full request. A body above the size limit gets status
 * 400, as the protocol demands, and the rest of it is not read. Confined to the event loop.
 */
final class RequestAggregator extends HttpObjectAggregator {
  /** Maximum size of a request body, as set by the protocol. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private static final String BODY_TOO_LARGE_JSON =
      "{\"error\":\"the body is larger than 64 KiB\"}";

  RequestAggregator() {
    super(MAX_BODY_BYTES);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
    var response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.BAD_REQUEST,
            Unpooled.copiedBuffer(BODY_TOO_LARGE_JSON, StandardCharsets.UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}

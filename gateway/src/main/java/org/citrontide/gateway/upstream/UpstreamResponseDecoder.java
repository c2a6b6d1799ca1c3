package org.citrontide.gateway.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.citrontide.gateway.http.UnexpectedBytes;

/** Decodes the responses of an upstream; a response to a HEAD request has no body, whatever its Content-Length is. */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private boolean isHeadRequest;
    private boolean isDue;

    void expectResponseTo(String method) {
        isHeadRequest = method.equals("HEAD");
        isDue = true;
    }

    void expectNoResponse() {
        isDue = false;
    }

    int unreadBytes() {
        return actualReadableBytes();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (!isDue && message instanceof ByteBuf bytes) {
            ctx.fireChannelRead(new UnexpectedBytes(bytes.readableBytes()));
        }
        super.channelRead(ctx, message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}

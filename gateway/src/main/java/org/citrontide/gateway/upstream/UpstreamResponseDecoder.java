package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes the responses of an upstream; a response to a HEAD request has no body, whatever its Content-Length is. */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private boolean isHeadRequest;

    void expectResponseTo(String method) {
        isHeadRequest = method.equals("HEAD");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return isHeadRequest || super.isContentAlwaysEmpty(message);
    }
}

package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes an upstream's answers; the answer to a HEAD request has no body whatever its length says. */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean headRequest;

    void expectAnswerTo(String method) {
        headRequest = method.equals("HEAD");
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage msg) {
        return headRequest || super.isContentAlwaysEmpty(msg);
    }
}

package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * The status and header fields of an upstream's response.
 *
 * @param status HTTP status
 * @param headers header fields, which must not be modified
 */
public record ResponseHead(int status, HttpHeaders headers) {

    /**
     * Returns whether the end of the body can be told from the body itself.
     *
     * @return false if the body ends with its connection
     */
    public boolean hasLength() {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}

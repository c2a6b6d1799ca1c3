package org.citrontide.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * One request of a caller, which is received completely before it is dispatched.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class CallerRequest {
    private final HttpMethod method;
    private final String target;
    private final HttpHeaders headers;
    private final boolean keepAlive;
    private final CallerConnection connection;
    private final int headCost;
    private final RequestBody body = new RequestBody();

    CallerRequest(HttpRequest request, int headCost, CallerConnection connection) {
        this.method = request.method();
        this.target = request.uri();
        this.headers = request.headers();
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.headCost = headCost;
        this.connection = connection;
    }

    /**
     * Returns the HTTP method.
     *
     * @return HTTP method
     */
    public HttpMethod method() {
        return method;
    }

    /**
     * Returns the request target, which is the path and query as the caller sent them.
     *
     * @return request target
     */
    public String target() {
        return target;
    }

    /**
     * Returns the header fields.
     *
     * @return header fields, which must not be modified
     */
    public HttpHeaders headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return a view of the body bytes received so far, complete once the request is dispatched; its bytes must not be
     *     modified
     */
    public ByteBuf body() {
        return body.view();
    }

    /**
     * Returns the connection that the request arrived on.
     *
     * @return the connection to send the response to
     */
    public CallerConnection connection() {
        return connection;
    }

    /**
     * Returns the memory that the request takes up.
     *
     * @return size of the head with the objects of its fields, and of the body, in bytes
     */
    public long memoryBytes() {
        return (long) headCost + body.capacity();
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    /**
     * Returns the length of the body.
     *
     * @return number of body bytes received so far
     */
    public int bodyLength() {
        return body.size();
    }

    void appendBody(ByteBuf in, int length, long unread) {
        body.append(in, length, unread);
    }
}

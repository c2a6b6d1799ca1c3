package org.citrontide.gateway.caller;

import java.io.ByteArrayOutputStream;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;

/**
 * One request of a caller, read in full before it is dispatched.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class CallerRequest {
    private final HttpMethod method;
    private final String target;
    private final HttpHeaders headers;
    private final boolean keepAlive;
    private final CallerConnection connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    CallerRequest(HttpRequest r, CallerConnection connection) {
        this.method = r.method();
        this.target = r.uri();
        this.headers = r.headers();
        this.keepAlive = HttpUtil.isKeepAlive(r);
        this.connection = connection;
    }

    /**
     * Returns the method.
     *
     * @return HTTP method
     */
    public HttpMethod method() {
        return method;
    }

    /**
     * Returns path and query as the caller sent them.
     *
     * @return target of the request
     */
    public String target() {
        return target;
    }

    /**
     * Returns the header fields.
     *
     * @return fields, not to be changed
     */
    public HttpHeaders headers() {
        return headers;
    }

    /**
     * Returns the body.
     *
     * @return all its bytes
     */
    public byte[] body() {
        return body.toByteArray();
    }

    /**
     * Returns the connection that the answer goes to.
     *
     * @return the connection
     */
    public CallerConnection connection() {
        return connection;
    }

    boolean isKeepAlive() {
        return keepAlive;
    }

    int bodyLength() {
        return body.size();
    }

    void append(byte[] data) {
        body.writeBytes(data);
    }
}

package org.citrontide.gateway.caller;

import java.io.ByteArrayOutputStream;
import java.util.Map;

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
    // Entry of the table and two string objects with their arrays, about.
    private static final int FIELD_OVERHEAD_BYTES = 128;

    private final HttpMethod method;
    private final String target;
    private final HttpHeaders headers;
    private final boolean keepAlive;
    private final CallerConnection connection;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);

    CallerRequest(HttpRequest request, CallerConnection connection) {
        this.method = request.method();
        this.target = request.uri();
        this.headers = request.headers();
        this.keepAlive = HttpUtil.isKeepAlive(request);
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
     * @return the body bytes received so far, complete once the request is dispatched
     */
    public byte[] body() {
        return body.toByteArray();
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
     * Estimates the memory that the request takes up.
     *
     * @return size of the head and the body in bytes, with the objects of the header fields
     */
    public int memoryBytes() {
        int bytes = target.length() + body.size();
        for (Map.Entry<String, String> field : headers) {
            bytes += field.getKey().length() + field.getValue().length() + FIELD_OVERHEAD_BYTES;
        }
        return bytes;
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

    void appendBody(byte[] data) {
        body.writeBytes(data);
    }
}

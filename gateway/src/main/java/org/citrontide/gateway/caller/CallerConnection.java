package org.citrontide.gateway.caller;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.citrontide.core.routes.CallerLimits;

/**
 * A caller's connection, which reads complete requests, dispatches one at a time, and writes the responses in order.
 *
 * <p>Invariants: a response is sent only to the current request; an aborted response closes the connection, so that the
 * caller can't mistake it for a complete one; a connection is idle only once its responses are written. Not
 * thread-safe: owned by the event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    // Callers send one request at a time; one that pipelines more than this is treated as abusive and disconnected.
    private static final int MAX_PIPELINED = 8;

    private final CallerServer server;
    private final StrictRequestDecoder decoder;
    private final Deque<CallerRequest> pipelined = new ArrayDeque<>();
    private Channel channel;
    private Optional<CallerRequest> incoming = Optional.empty();
    private Optional<CallerRequest> current = Optional.empty();
    private boolean closing;
    private boolean streaming;
    private int unwrittenResponses;
    private long lastActivityNanos = System.nanoTime();

    CallerConnection(CallerServer server, StrictRequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
    }

    /**
     * Sends a complete response to the current request.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param body the complete body
     */
    public void sendResponse(int status, HttpHeaders headers, byte[] body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        response.headers().set(headers);
        HttpUtil.setContentLength(response, body.length);
        boolean isLast = isLastResponse();
        HttpUtil.setKeepAlive(response, !isLast);
        handleResponseEnd(channel.writeAndFlush(response), isLast);
    }

    /**
     * Starts a response whose body follows in chunks.
     *
     * @param status HTTP status
     * @param headers header fields
     */
    public void startResponse(int status, HttpHeaders headers) {
        DefaultHttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        HttpUtil.setTransferEncodingChunked(response, true);
        if (isLastResponse()) {
            closing = true;
            HttpUtil.setKeepAlive(response, false);
        }
        streaming = true;
        channel.write(response);
    }

    /**
     * Sends a chunk of the body.
     *
     * @param data the bytes of the chunk
     */
    public void writeChunk(byte[] data) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
    }

    /**
     * Returns whether the caller reads fast enough for more chunks.
     *
     * @return false if chunks pile up, until {@link CallerListener#callerWritable} is called
     */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Ends the body of a streamed response that is complete. */
    public void endResponse() {
        streaming = false;
        handleResponseEnd(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), closing);
    }

    /** Closes the connection without ending the body, so that the response is incomplete. */
    public void abort() {
        current = Optional.empty();
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        server.connectionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.connectionClosed(this, unwrittenResponses);
        unwrittenResponses = 0;
        Optional<CallerRequest> interrupted = current;
        current = Optional.empty();
        pipelined.clear();
        interrupted.ifPresent(server.listener()::callerDisconnected);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (channel.isWritable()) {
            current.ifPresent(server.listener()::callerWritable);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    boolean isIdle() {
        return current.isEmpty() && incoming.isEmpty() && pipelined.isEmpty() && unwrittenResponses == 0;
    }

    /** Closes the connection if the caller exceeds the timeout for the head of a request or the idle timeout. */
    void checkTimeouts(CallerLimits limits, long nowNanos) {
        if (closing || current.isPresent()) {
            return;
        }
        if (decoder.headIncompleteNanos(nowNanos) > limits.headerTimeout().toNanos()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
            return;
        }
        Duration idle = Duration.ofNanos(nowNanos - lastActivityNanos);
        if (idle.compareTo(limits.idleTimeout()) <= 0) {
            return;
        }
        if (incoming.isPresent()) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            channel.close();
        }
    }

    void closeIfIdle() {
        if (isIdle() && decoder.headIncompleteNanos(System.nanoTime()) == 0) {
            closing = true;
            channel.close();
        }
    }

    private void handleHead(HttpRequest request) {
        if (closing) {
            return;
        }
        lastActivityNanos = System.nanoTime();
        Optional<HttpResponseStatus> violation = findViolation(request);
        if (violation.isPresent()) {
            reject(violation.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        incoming = Optional.of(new CallerRequest(request, this));
    }

    private Optional<HttpResponseStatus> findViolation(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            return Optional.of(
                    cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST);
        }
        if (request.headers().contains(StrictRequestDecoder.AMBIGUOUS_LENGTH)) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        if (HttpUtil.getContentLength(request, 0L) > server.limits().bodyBytes()) {
            return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return Optional.empty();
    }

    private void handleContent(HttpContent content) {
        if (closing || incoming.isEmpty()) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        CallerRequest request = incoming.get();
        lastActivityNanos = System.nanoTime();
        if (content.content().isReadable()) {
            request.appendBody(ByteBufUtil.getBytes(content.content()));
        }
        if (request.bodyLength() > server.limits().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (content instanceof LastHttpContent) {
            incoming = Optional.empty();
            enqueue(request);
        }
    }

    private void enqueue(CallerRequest request) {
        if (pipelined.size() >= MAX_PIPELINED) {
            channel.close();
            return;
        }
        pipelined.add(request);
        dispatchNext();
    }

    private void dispatchNext() {
        if (current.isPresent() || pipelined.isEmpty()) {
            return;
        }
        current = Optional.of(pipelined.removeFirst());
        server.listener().requestArrived(current.get());
    }

    private boolean isLastResponse() {
        boolean isKeepAlive = current.map(CallerRequest::isKeepAlive).orElse(false);
        return !isKeepAlive || server.listener().isStopping();
    }

    private void handleResponseEnd(ChannelFuture writeFuture, boolean isLast) {
        current = Optional.empty();
        lastActivityNanos = System.nanoTime();
        unwrittenResponses++;
        server.responseQueued();
        writeFuture.addListener(f -> handleResponseWritten());
        if (isLast) {
            closing = true;
            writeFuture.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        dispatchNext();
    }

    private void handleResponseWritten() {
        if (unwrittenResponses > 0) {
            unwrittenResponses--;
            server.responseWritten();
        }
    }

    /**
     * Responds with an error to a request that can't be read completely and closes the connection, since the rest of
     * that request is not read. Closes it without a response if the response to an earlier request is pending.
     */
    private void reject(HttpResponseStatus status) {
        if (current.isPresent() || streaming) {
            closing = true;
            channel.close();
            return;
        }
        closing = true;
        incoming = Optional.empty();
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
}

package org.citrontide.gateway.caller;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.citrontide.core.memory.MemoryBound;
import org.citrontide.core.memory.MemoryOwner;
import org.citrontide.core.routes.CallerLimits;
import org.citrontide.gateway.http.BodyWriter;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;

/**
 * A caller's connection, which reads complete requests, dispatches one at a time, and writes the responses in order.
 *
 * <p>Invariants: a response is sent only to the current request; an aborted response closes the connection, so that the
 * caller can't mistake it for a complete one; a connection is idle only once its responses are written, and the time
 * since then counts. Not thread-safe: owned by the event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter
        implements RequestDecoder.Receiver, MemoryOwner {
    // Callers send one request at a time; one that pipelines more than this is treated as abusive and disconnected.
    private static final int MAX_PIPELINED = 8;
    // Enough for pipelined requests of the usual size; larger ones wait in the socket.
    private static final int MAX_AHEAD_BYTES = 64 * 1024;
    // Time for the memory of callers that were refused or too slow to be freed.
    private static final int RETRY_AFTER_SECONDS = 1;

    // The socket reports that a caller reads in steps of about a third of its send buffer of up to 4 MB, so that a
    // caller who reads 30 KB/s or more is never taken for one who doesn't read.
    private static final Duration UNREAD_TIMEOUT = Duration.ofSeconds(60);

    private static final ChannelFutureListener CHECK_MEMORY = write -> OutOfMemoryExit.check(write.cause());

    private final CallerServer server;
    private RequestDecoder decoder;
    private ConnectionMemory memory;
    private final Deque<CallerRequest> pipelined = new ArrayDeque<>();
    private Channel channel;
    private CallerOutput output;
    private Optional<CallerRequest> incoming = Optional.empty();
    private Optional<CallerRequest> current = Optional.empty();
    private boolean closing;
    private boolean streaming;
    private int unwrittenResponses;
    private boolean isReadingPaused;
    private long lastActivityNanos = System.nanoTime();
    private long bodySinceNanos;
    private int bodyBytesBefore;

    private CallerConnection(CallerServer server) {
        this.server = server;
    }

    static CallerConnection create(CallerServer server, StrictRequestDecoder headDecoder, int maxHeaderBytes) {
        CallerConnection connection = new CallerConnection(server);
        connection.decoder = new RequestDecoder(headDecoder, maxHeaderBytes, connection);
        connection.memory = new ConnectionMemory(server.memoryGuard(), connection);
        return connection;
    }

    /**
     * Sends a complete response to the current request.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param body the complete body
     */
    public void sendResponse(int status, HttpHeaders headers, byte[] body) {
        boolean isLast = isLastResponse();
        if (body.length > BodyWriter.WHOLE_BYTES) {
            DefaultHttpResponse head =
                    new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            setHeaders(head, headers, body.length, isLast);
            handleResponseEnd(output.writeLarge(head, body), isLast);
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        setHeaders(response, headers, body.length, isLast);
        handleResponseEnd(output.write(response, body.length), isLast);
    }

    private static void setHeaders(HttpResponse response, HttpHeaders headers, int length, boolean isLast) {
        response.headers().set(headers);
        HttpUtil.setContentLength(response, length);
        HttpUtil.setKeepAlive(response, !isLast);
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
            decoder.discardRest();
            incoming = Optional.empty();
            HttpUtil.setKeepAlive(response, false);
        }
        streaming = true;
        channel.write(response).addListener(CHECK_MEMORY);
    }

    /**
     * Sends a chunk of the body.
     *
     * @param data the bytes of the chunk
     */
    public void writeChunk(byte[] data) {
        output.write(new DefaultHttpContent(Unpooled.wrappedBuffer(data)), data.length);
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
        releaseCurrent();
        stopDecoding();
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        output = new CallerOutput(channel, server.memoryGuard(), this);
        server.connectionOpened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            int bodyBytes = incomingBodyBytes();
            decoder.decode((ByteBuf) message);
            if (incomingBodyBytes() != bodyBytes) {
                lastActivityNanos = System.nanoTime();
            }
            memory.setIncomplete(
                    decoder.incompleteHeadCost(),
                    incoming.map(CallerRequest::memoryBytes).orElse(0L));
            updateReading();
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.connectionClosed(this, unwrittenResponses);
        memory.close();
        output.close();
        decoder.discardRest();
        incoming = Optional.empty();
        unwrittenResponses = 0;
        Optional<CallerRequest> interrupted = current;
        current = Optional.empty();
        pipelined.clear();
        interrupted.ifPresent(server.listener()::callerDisconnected);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        lastActivityNanos = System.nanoTime();
        output.resume();
        if (channel.isWritable()) {
            current.ifPresent(server.listener()::callerWritable);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        OutOfMemoryExit.check(cause);
        ctx.close();
    }

    boolean isIdle() {
        return current.isEmpty() && incoming.isEmpty() && pipelined.isEmpty() && unwrittenResponses == 0;
    }

    /** Closes the connection if the caller exceeds a limit on the time for its request, or the idle timeout. */
    void checkTimeouts(CallerLimits limits, long nowNanos) {
        if (closing || current.isPresent()) {
            return;
        }
        if (decoder.headIncompleteNanos(nowNanos) > limits.headerTimeout().toNanos()) {
            refuse("head-timeout", HttpResponseStatus.REQUEST_TIMEOUT);
            return;
        }
        if (incoming.isPresent()) {
            Optional<String> violation = server.progressRule()
                    .findViolation(incomingBodyBytes() - bodyBytesBefore, nowNanos - bodySinceNanos);
            if (violation.isPresent()) {
                refuse(violation.get(), HttpResponseStatus.REQUEST_TIMEOUT);
                return;
            }
        }
        Duration idle = Duration.ofNanos(nowNanos - lastActivityNanos);
        if (idle.compareTo(limits.idleTimeout()) <= 0) {
            return;
        }
        if (unwrittenResponses > 0) {
            if (idle.compareTo(UNREAD_TIMEOUT) > 0) {
                closeUnread("response-unread", memory.totalBytes());
            }
            return;
        }
        if (incoming.isPresent()) {
            refuse("body-idle", HttpResponseStatus.REQUEST_TIMEOUT);
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

    /** Stops reading while a bound on memory is near, or the requests that wait behind the current one are large. */
    void updateReading() {
        boolean isFarAhead = current.isPresent() && !pipelined.isEmpty() && aheadBytes() > MAX_AHEAD_BYTES;
        boolean isPressed = incoming.isPresent() && memory.isUnderPressure();
        boolean shouldPause = !closing && (isFarAhead || isPressed);
        if (shouldPause != isReadingPaused) {
            isReadingPaused = shouldPause;
            channel.config().setAutoRead(!shouldPause);
        }
        server.setPressed(this, isPressed && !closing);
    }

    /** Closes the connection because its caller doesn't read the response. */
    void closeUnread(MemoryBound bound, long bytes) {
        closeUnread("unread-" + bound.key(), bytes);
    }

    private void closeUnread(String reason, long bytes) {
        server.memoryGuard().recordRefusedCaller(reason, false, channel.remoteAddress(), bytes);
        stopDecoding();
        channel.close();
    }

    @Override
    public void memoryRefused(MemoryBound bound) {
        refuse("memory-" + bound.key(), HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    @Override
    public void headDecoded(HttpRequest request, int cost) {
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
        incoming = Optional.of(new CallerRequest(request, cost, this));
        restartBodyTime();
    }

    /** Restarts the time of the incoming body, which doesn't run while an earlier request is pending. */
    private void restartBodyTime() {
        bodySinceNanos = System.nanoTime();
        bodyBytesBefore = incomingBodyBytes();
    }

    private int incomingBodyBytes() {
        return incoming.isPresent() ? incoming.get().bodyLength() : 0;
    }

    @Override
    public void headRejected(boolean isTooLong) {
        if (!closing) {
            reject(isTooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
        }
    }

    @Override
    public void bodyReceived(ByteBuf in, int length, long unread) {
        CallerRequest request = incoming.orElseThrow();
        if (request.bodyLength() + length > server.limits().bodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        request.appendBody(in, length, unread);
    }

    @Override
    public void bodyRejected() {
        reject(HttpResponseStatus.BAD_REQUEST);
    }

    @Override
    public void requestDecoded() {
        CallerRequest request = incoming.orElseThrow();
        incoming = Optional.empty();
        if (pipelined.size() >= MAX_PIPELINED) {
            closing = true;
            decoder.discardRest();
            channel.close();
            return;
        }
        memory.requestCompleted(request.memoryBytes());
        if (!closing) {
            pipelined.add(request);
            dispatchNext();
        }
    }

    private long aheadBytes() {
        long currentBytes = current.map(CallerRequest::memoryBytes).orElse(0L);
        return memory.waitingBytes() + memory.incompleteBytes() - currentBytes;
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

    private void dispatchNext() {
        if (closing || current.isPresent() || pipelined.isEmpty() || output.isWritingLarge()) {
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
        releaseCurrent();
        lastActivityNanos = System.nanoTime();
        unwrittenResponses++;
        server.responseQueued();
        if (isLast) {
            // Before the listener, which runs at once if the response is written already and would dispatch the next.
            stopDecoding();
        }
        writeFuture.addListener(f -> handleResponseWritten());
        if (isLast) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        if (incoming.isPresent()) {
            restartBodyTime();
        }
        dispatchNext();
        updateReading();
    }

    private void releaseCurrent() {
        current.ifPresent(request -> memory.requestEnded(request.memoryBytes()));
        current = Optional.empty();
    }

    private void handleResponseWritten() {
        lastActivityNanos = System.nanoTime();
        if (unwrittenResponses > 0) {
            unwrittenResponses--;
            server.responseWritten();
        }
        if (!closing && channel.isActive()) {
            dispatchNext();
        }
    }

    /**
     * Responds with an error to a request that can't be read completely and closes the connection, since the rest of
     * that request is not read. Closes it without a response if the response to an earlier request is pending.
     */
    private void reject(HttpResponseStatus status) {
        boolean isAnswered = isAnswerable();
        stopDecoding();
        incoming = Optional.empty();
        if (!isAnswered) {
            channel.close();
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(response, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private boolean isAnswerable() {
        return current.isEmpty() && !streaming && !output.isWritingLarge();
    }

    /** Rejects the incomplete request because of a bound on memory or time, and records that. */
    private void refuse(String reason, HttpResponseStatus status) {
        if (closing) {
            channel.close();
            return;
        }
        boolean isAnswered = isAnswerable();
        server.memoryGuard().recordRefusedCaller(reason, isAnswered, channel.remoteAddress(), memory.totalBytes());
        reject(status);
    }

    /** Drops what arrives from now on, because the connection is closed after the response that is being written. */
    private void stopDecoding() {
        closing = true;
        decoder.discardRest();
        pipelined.clear();
        memory.close();
        server.setPressed(this, false);
        if (isReadingPaused) {
            isReadingPaused = false;
            channel.config().setAutoRead(true);
        }
    }
}

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
 * A caller's connection: reads whole requests, hands over one at a time, and writes their answers in order.
 *
 * <p>Invariants: an answer goes only to the request that is due; an answer that broke off ends with a closed
 * connection, so that it can't be taken for whole. Not thread-safe: owned by the event loop.
 */
public final class CallerConnection extends ChannelInboundHandlerAdapter {
    // Callers send one request at a time; more in advance than this is a flood.
    private static final int MAX_PIPELINED = 8;

    private final CallerServer server;
    private final StrictRequestDecoder decoder;
    private final Deque<CallerRequest> waiting = new ArrayDeque<>();
    private Channel channel;
    private Optional<CallerRequest> reading = Optional.empty();
    private Optional<CallerRequest> due = Optional.empty();
    private boolean closing;
    private boolean streaming;
    private long idleSinceNanos = System.nanoTime();

    CallerConnection(CallerServer server, StrictRequestDecoder decoder) {
        this.server = server;
        this.decoder = decoder;
    }

    /**
     * Sends a whole answer to the request that is due.
     *
     * @param status HTTP status
     * @param headers header fields
     * @param body the whole body
     */
    public void answer(int status, HttpHeaders headers, byte[] body) {
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
        r.headers().set(headers);
        HttpUtil.setContentLength(r, body.length);
        boolean isLast = isLastAnswer();
        HttpUtil.setKeepAlive(r, !isLast);
        end(channel.writeAndFlush(r), isLast);
    }

    /**
     * Begins an answer whose body follows in parts.
     *
     * @param status HTTP status
     * @param headers header fields
     */
    public void begin(int status, HttpHeaders headers) {
        DefaultHttpResponse r = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        r.headers().set(headers);
        HttpUtil.setTransferEncodingChunked(r, true);
        if (isLastAnswer()) {
            closing = true;
            HttpUtil.setKeepAlive(r, false);
        }
        streaming = true;
        channel.write(r);
    }

    /**
     * Sends a part of the body.
     *
     * @param data the bytes
     */
    public void part(byte[] data) {
        channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
    }

    /** Ends the body as a whole one. */
    public void endWhole() {
        streaming = false;
        end(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), closing);
    }

    /** Ends the connection in the middle of the body. */
    public void breakOff() {
        due = Optional.empty();
        channel.close();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        server.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (msg instanceof HttpRequest r) {
                head(r);
            }
            if (msg instanceof HttpContent c) {
                content(c);
            }
        } finally {
            ReferenceCountUtil.release(msg);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        Optional<CallerRequest> lost = due;
        due = Optional.empty();
        waiting.clear();
        lost.ifPresent(server.listener()::gone);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    boolean isIdle() {
        return due.isEmpty() && reading.isEmpty() && waiting.isEmpty();
    }

    /** Ends a connection whose caller takes too long. */
    void checkTime(CallerLimits limits, long nowNanos) {
        if (closing || due.isPresent()) {
            return;
        }
        if (decoder.partialNanos(nowNanos) > limits.headerTimeout().toNanos()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
            return;
        }
        Duration idle = Duration.ofNanos(nowNanos - idleSinceNanos);
        if (idle.compareTo(limits.idleTimeout()) <= 0) {
            return;
        }
        if (reading.isPresent()) {
            refuse(HttpResponseStatus.REQUEST_TIMEOUT);
        } else {
            channel.close();
        }
    }

    void closeIfIdle() {
        if (isIdle() && decoder.partialNanos(System.nanoTime()) == 0) {
            closing = true;
            channel.close();
        }
    }

    private void head(HttpRequest r) {
        if (closing) {
            return;
        }
        idleSinceNanos = System.nanoTime();
        Optional<HttpResponseStatus> fault = fault(r);
        if (fault.isPresent()) {
            refuse(fault.get());
            return;
        }
        if (HttpUtil.is100ContinueExpected(r)) {
            channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        reading = Optional.of(new CallerRequest(r, this));
    }

    private Optional<HttpResponseStatus> fault(HttpRequest r) {
        if (r.decoderResult().isFailure()) {
            Throwable cause = r.decoderResult().cause();
            return Optional.of(
                    cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                            ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                            : HttpResponseStatus.BAD_REQUEST);
        }
        if (r.headers().contains(StrictRequestDecoder.AMBIGUOUS)) {
            return Optional.of(HttpResponseStatus.BAD_REQUEST);
        }
        if (HttpUtil.getContentLength(r, 0L) > server.limits().bodyBytes()) {
            return Optional.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        return Optional.empty();
    }

    private void content(HttpContent c) {
        if (closing || reading.isEmpty()) {
            return;
        }
        if (c.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        CallerRequest r = reading.get();
        idleSinceNanos = System.nanoTime();
        if (c.content().isReadable()) {
            r.append(ByteBufUtil.getBytes(c.content()));
        }
        if (r.bodyLength() > server.limits().bodyBytes()) {
            refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        if (c instanceof LastHttpContent) {
            reading = Optional.empty();
            enqueue(r);
        }
    }

    private void enqueue(CallerRequest r) {
        if (waiting.size() >= MAX_PIPELINED) {
            channel.close();
            return;
        }
        waiting.add(r);
        handOver();
    }

    private void handOver() {
        if (due.isPresent() || waiting.isEmpty()) {
            return;
        }
        due = Optional.of(waiting.removeFirst());
        server.listener().arrived(due.get());
    }

    private boolean isLastAnswer() {
        boolean stays = due.map(CallerRequest::isKeepAlive).orElse(false);
        return !stays || server.listener().isStopping();
    }

    private void end(ChannelFuture written, boolean isLast) {
        due = Optional.empty();
        idleSinceNanos = System.nanoTime();
        if (isLast) {
            closing = true;
            written.addListener(ChannelFutureListener.CLOSE);
            return;
        }
        handOver();
    }

    /** Answers a request that can't be read, after which the connection can't be used. */
    private void refuse(HttpResponseStatus status) {
        if (due.isPresent() || streaming) {
            closing = true;
            channel.close();
            return;
        }
        closing = true;
        reading = Optional.empty();
        DefaultFullHttpResponse r = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
        HttpUtil.setContentLength(r, 0);
        r.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        channel.writeAndFlush(r).addListener(ChannelFutureListener.CLOSE);
    }
}

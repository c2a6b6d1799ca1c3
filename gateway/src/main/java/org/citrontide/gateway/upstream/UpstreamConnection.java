package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.routes.ListedUpstream;
import org.citrontide.core.verdict.Reason;
import org.citrontide.gateway.http.BodyWriter;
import org.citrontide.gateway.http.MalformedResponseException;
import org.citrontide.gateway.http.ProbedSocketChannel;
import org.citrontide.gateway.http.ResponseDecoder;
import org.citrontide.gateway.http.UnexpectedBytes;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;
import org.citrontide.runtime.log.EventLog;

/**
 * One connection to an upstream, which carries one attempt at a time.
 *
 * <p>Invariants: a response begins with bytes that were not there when its request was sent, because a connection on
 * which anything else arrived after a response is closed; a response that is not well-formed, or that follows an
 * irregularity, fails the attempt as one that may have run, and its head is not reported unless a part of its body was
 * passed on; a response that echoes the ID of another attempt is skipped; a response without an ID is taken only as the
 * first one of a connection, because a later one may repeat the response to an earlier request; a response without an
 * attempt in flight closes the connection; a response whose end is decoded after the channel was closed is incomplete,
 * because the channel stays open when the upstream ends the connection (half-closure) and is closed by a reset or the
 * gateway itself; after a failed write only a response with a length can be complete, because the write consumes the
 * error of the socket and a reset then reads like an end; a connection is reused only once its request is written; an
 * attempt that is given up without the head of a response leaves no bytes to be delivered later. Not thread-safe: owned
 * by the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final EventLog LOG = EventLog.of(UpstreamConnection.class);
    private static final String KEEP_ALIVE = "Keep-Alive";
    // No service behind the gateway sends a larger response.
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    // Leaves time for a request to arrive before the upstream closes the idle connection.
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(700);
    // Used if the upstream announces no timeout, since it may then close an idle connection at any time.
    private static final Duration UNANNOUNCED_KEEP_ALIVE = Duration.ofMillis(300);
    // What arrived before a write failed is read at once; this only bounds the wait if nothing did.
    private static final Duration READ_AFTER_FAILED_WRITE = Duration.ofMillis(100);

    private final UpstreamConnectionPool pool;
    private final ResponseDecoder decoder;
    private final ListedUpstream upstream;
    private final long number;
    private ProbedSocketChannel channel;
    private Optional<BodyWriter> writer = Optional.empty();
    private Optional<UpstreamAttempt> current = Optional.empty();
    private boolean usedBefore;
    private boolean isReused;
    private boolean skippingResponse;
    private boolean hasSkippedResponse;
    private boolean isFramed;
    private boolean isHeadReported;
    private boolean keepAlive;
    private boolean requestWritten;
    private boolean writeFailed;
    private boolean hasBeenIdle;
    private long endedNanos;
    private long usableUntilNanos;
    private boolean timeoutAnnounced;

    UpstreamConnection(UpstreamConnectionPool pool, ResponseDecoder decoder, ListedUpstream upstream, long number) {
        this.pool = pool;
        this.decoder = decoder;
        this.upstream = upstream;
        this.number = number;
    }

    String poolKey() {
        return upstream.instanceKey();
    }

    /** Returns the number of the connection, unique within a process. */
    long number() {
        return number;
    }

    void setChannel(ProbedSocketChannel newChannel) {
        channel = newChannel;
    }

    void send(UpstreamAttempt attempt) {
        isReused = usedBefore;
        usedBefore = true;
        current = Optional.of(attempt);
        attempt.setConnection(this);
        attempt.setOnReusedConnection(isReused);
        attempt.setSendStarted();
        skippingResponse = false;
        hasBeenIdle = false;
        requestWritten = false;
        attempt.request()
                .headers()
                .set(
                        PlatformHeaders.REMAINING_MS,
                        Math.max(1, attempt.remaining(System.nanoTime()).toMillis()));
        decoder.expectResponseTo(attempt.request().method().name());
        write(attempt);
    }

    private void write(UpstreamAttempt attempt) {
        FullHttpRequest request = attempt.request();
        if (request.content().readableBytes() <= BodyWriter.WHOLE_BYTES) {
            channel.writeAndFlush(request).addListener(f -> handleWritten(attempt, f.cause()));
            return;
        }
        BodyWriter bodyWriter = new BodyWriter(channel, request.content(), failure -> handleWritten(attempt, failure));
        writer = Optional.of(bodyWriter);
        bodyWriter.begin(
                new DefaultHttpRequest(request.protocolVersion(), request.method(), request.uri(), request.headers()));
    }

    /**
     * Returns whether a request may be sent on this connection. A request that must run at most once requires an
     * announced timeout of which more than twice the margin remains.
     */
    boolean isUsable(boolean atMostOnce, long nowNanos) {
        long needed = atMostOnce ? KEEP_ALIVE_MARGIN.toNanos() : 0;
        return channel.isActive() && (timeoutAnnounced || !atMostOnce) && usableUntilNanos - nowNanos > needed;
    }

    /** Returns whether nothing arrived since the last response; closes the connection otherwise. */
    boolean isQuiet() {
        int bytes = channel.probe();
        if (bytes == 0 && decoder.isAtBoundary()) {
            return true;
        }
        if (bytes > 0) {
            handleUnexpectedBytes(bytes);
        }
        channel.close();
        return false;
    }

    /** Starts or stops reading the response, which the upstream then stops sending. */
    void setReading(boolean isReading) {
        channel.config().setAutoRead(isReading);
    }

    /**
     * Gives up the attempt and closes the connection. Without the head of a response, bytes of the request may still
     * be undelivered: a reset drops them, while an orderly close lets them arrive at any time.
     */
    void close() {
        dropUndelivered();
        current = Optional.empty();
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (message instanceof UnexpectedBytes bytes) {
                handleUnexpectedBytes(bytes.count());
                breakOff();
            }
            if (message instanceof HttpResponse response) {
                handleHead(response);
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
        pool.remove(this);
        failAttempt(Reason.CONNECTION_LOST);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writer.ifPresent(BodyWriter::resume);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        OutOfMemoryExit.check(cause);
        ctx.close();
    }

    /** Closes the connection after a failed write, once the response that may have arrived before it has been read. */
    private void handleWritten(UpstreamAttempt attempt, Throwable failure) {
        OutOfMemoryExit.check(failure);
        boolean isWritten = failure == null;
        requestWritten = isWritten;
        writer = Optional.empty();
        if (isWritten) {
            attempt.setWritten();
            pool.sendMonitor().recordWritten(attempt, System.nanoTime());
        }
        if (isWritten || !channel.isActive()) {
            return;
        }
        writeFailed = true;
        LOG.info("request-unsent")
                .with("upstream", attempt.upstream().id())
                .with("id", attempt.attemptId())
                .write();
        channel.eventLoop().schedule(() -> channel.close(), READ_AFTER_FAILED_WRITE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void handleUnexpectedBytes(int bytes) {
        Duration idle = Duration.ofNanos(System.nanoTime() - endedNanos);
        pool.faults().recordUnexpectedBytes(upstream.id(), number, bytes, hasBeenIdle, idle);
    }

    private void recordRejected(HttpObject message) {
        String reason =
                MalformedResponseException.reasonOf(message.decoderResult().cause());
        current.ifPresent(attempt -> pool.faults().recordRejected(attempt, reason, requestWritten));
    }

    private void handleHead(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            recordRejected(response);
        }
        if (response.decoderResult().isFailure() || current.isEmpty()) {
            breakOff();
            return;
        }
        UpstreamAttempt attempt = current.get();
        List<String> echoedIds = response.headers().getAll(PlatformHeaders.ATTEMPT_ID);
        boolean isOfAnother = echoedIds.stream().anyMatch(id -> !id.equals(attempt.attemptId()));
        boolean isInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        skippingResponse = isInterim || isOfAnother;
        hasSkippedResponse |= isOfAnother;
        if (isOfAnother) {
            decoder.skipResponse();
        }
        if (skippingResponse) {
            return;
        }
        if (isReused && echoedIds.isEmpty() && !attempt.attemptId().isEmpty()) {
            rejectUnattributable(attempt, response);
            return;
        }
        attempt.setHead(new ResponseHead(response.status().code(), response.headers()));
        isFramed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
        keepAlive = HttpUtil.isKeepAlive(response) && isFramed && !hasSkippedResponse;
        updateKeepAlive(response);
        isHeadReported = false;
    }

    /** Fails the attempt: the response may belong to an earlier request, and the attempt may run or have run. */
    private void rejectUnattributable(UpstreamAttempt attempt, HttpResponse response) {
        LOG.warn("response-without-id")
                .with("upstream", attempt.upstream().id())
                .with("id", attempt.attemptId())
                .with("status", response.status().code())
                .write();
        breakOff();
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            recordRejected(content);
            breakOff();
            return;
        }
        boolean isLast = content instanceof LastHttpContent;
        if (skippingResponse) {
            skippingResponse = !isLast;
            return;
        }
        if (current.isEmpty() || current.get().head().isEmpty()) {
            return;
        }
        UpstreamAttempt attempt = current.get();
        if (content.content().isReadable()) {
            handleData(attempt, ByteBufUtil.getBytes(content.content()));
        }
        if (isLast && !attempt.isEnded()) {
            endAttempt(attempt);
        }
    }

    private void handleData(UpstreamAttempt attempt, byte[] data) {
        if (attempt.isStreamed()) {
            reportHead(attempt);
            pool.listener().dataReceived(attempt, data);
            return;
        }
        pool.recordMemory(attempt, attempt.appendBody(data));
        if (attempt.bodyLength() > MAX_BUFFERED_BYTES) {
            dropResponse();
        }
    }

    private void reportHead(UpstreamAttempt attempt) {
        if (!isHeadReported) {
            isHeadReported = true;
            pool.listener().headReceived(attempt);
        }
    }

    /** Fails the attempt because its response is too large to be kept. */
    void dropResponse() {
        current.ifPresent(attempt -> LOG.warn("response-dropped")
                .with("upstream", attempt.upstream().id())
                .with("id", attempt.attemptId())
                .with("bytes", attempt.bodyLength())
                .with("kept-bytes", pool.keptBytes())
                .write());
        breakOff();
    }

    private void endAttempt(UpstreamAttempt attempt) {
        boolean isEndUncertain = writeFailed && !isFramed;
        if (!channel.isActive() || isEndUncertain) {
            failAttempt(Reason.CONNECTION_LOST);
            return;
        }
        current = Optional.empty();
        attempt.setEnded();
        pool.releaseMemory(attempt);
        endedNanos = System.nanoTime();
        if (keepAlive && requestWritten && decoder.isAtBoundary()) {
            setReading(true);
            hasBeenIdle = true;
            pool.addIdle(this);
        } else {
            channel.close();
        }
        reportHead(attempt);
        pool.listener()
                .attemptEnded(
                        attempt, ResponseClassifier.classify(attempt.head().orElseThrow()));
    }

    /** Fails the attempt because of its response and closes the connection like {@link #close}. */
    private void breakOff() {
        dropUndelivered();
        failAttempt(Reason.ANSWER_BROKEN);
        channel.close();
    }

    /** Makes the next close a reset if bytes of the request may not have arrived. */
    private void dropUndelivered() {
        boolean mayBeUndelivered =
                current.filter(attempt -> attempt.head().isEmpty()).isPresent();
        if (mayBeUndelivered && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
    }

    private void failAttempt(Reason reason) {
        Optional<UpstreamAttempt> attempt = current;
        current = Optional.empty();
        if (attempt.isPresent() && !attempt.get().isEnded()) {
            attempt.get().setEnded();
            pool.releaseMemory(attempt.get());
            pool.listener().attemptEnded(attempt.get(), new AttemptOutcome.Broken(reason));
        }
    }

    private void updateKeepAlive(HttpResponse response) {
        long nowNanos = System.nanoTime();
        String value = response.headers().get(KEEP_ALIVE);
        timeoutAnnounced = value != null && value.matches(".*timeout=[0-9]{1,6}.*");
        if (!timeoutAnnounced) {
            usableUntilNanos = nowNanos + UNANNOUNCED_KEEP_ALIVE.toNanos();
            return;
        }
        long seconds = Long.parseLong(value.replaceAll(".*timeout=([0-9]+).*", "$1"));
        usableUntilNanos =
                nowNanos + Duration.ofSeconds(seconds).minus(KEEP_ALIVE_MARGIN).toNanos();
    }
}

package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.verdict.Reason;
import org.citrontide.platform.PlatformHeaders;

/**
 * One connection to an upstream, which carries one attempt at a time.
 *
 * <p>Invariants: an answer counts for the current attempt only if it echoes its identity; bytes that belong to no
 * attempt close the connection; an answer without a length is whole only if the connection ended in order. Not
 * thread-safe: owned by the event loop.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private static final String KEEP_ALIVE = "Keep-Alive";
    // An answer beyond this is no answer of the services that the gateway serves.
    private static final int MAX_BUFFERED_BYTES = 8 * 1024 * 1024;
    // Leaves time for a request to arrive before the upstream closes the idle connection.
    private static final Duration KEEP_ALIVE_MARGIN = Duration.ofMillis(700);
    // Used where the upstream announces no time: it may close at any moment.
    private static final Duration UNANNOUNCED_KEEP_ALIVE = Duration.ofMillis(300);

    private final UpstreamConnections pool;
    private final AnswerDecoder decoder;
    private final String upstream;
    private Channel channel;
    private Optional<UpstreamAttempt> current = Optional.empty();
    private boolean skipping;
    private boolean reset;
    private boolean keptAlive;
    private long usableUntilNanos;
    private boolean announced;

    UpstreamConnection(UpstreamConnections pool, AnswerDecoder decoder, String upstream) {
        this.pool = pool;
        this.decoder = decoder;
        this.upstream = upstream;
    }

    String upstream() {
        return upstream;
    }

    void open(Channel c) {
        channel = c;
    }

    void send(UpstreamAttempt attempt) {
        current = Optional.of(attempt);
        attempt.setConnection(this);
        skipping = false;
        decoder.expectAnswerTo(attempt.request().method().name());
        channel.writeAndFlush(attempt.request());
    }

    /** Says whether a request may be sent here; one that runs once needs an announced time and half of it left. */
    boolean isUsable(boolean runsOnce, long nowNanos) {
        long needed = runsOnce ? KEEP_ALIVE_MARGIN.toNanos() : 0;
        return channel.isActive() && (announced || !runsOnce) && usableUntilNanos - nowNanos > needed;
    }

    void close() {
        current = Optional.empty();
        channel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
            if (msg instanceof HttpResponse r) {
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
        pool.closed(this);
        fail(Reason.CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reset = true;
        ctx.close();
    }

    private void head(HttpResponse r) {
        if (r.decoderResult().isFailure() || current.isEmpty()) {
            fail(Reason.ANSWER_BROKEN);
            channel.close();
            return;
        }
        UpstreamAttempt a = current.get();
        String echoed = r.headers().get(PlatformHeaders.ATTEMPT_ID);
        boolean isInterim = r.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        skipping = isInterim || echoed != null && !echoed.equals(a.attemptId());
        if (skipping) {
            return;
        }
        a.setHead(new AnswerHead(r.status().code(), r.headers()));
        boolean isFramed = HttpUtil.isContentLengthSet(r) || HttpUtil.isTransferEncodingChunked(r);
        keptAlive = HttpUtil.isKeepAlive(r) && isFramed;
        noteKeepAlive(r);
    }

    private void content(HttpContent c) {
        if (c.decoderResult().isFailure()) {
            fail(Reason.ANSWER_BROKEN);
            channel.close();
            return;
        }
        boolean isLast = c instanceof LastHttpContent;
        if (skipping) {
            skipping = !isLast;
            return;
        }
        if (current.isEmpty() || current.get().head().isEmpty()) {
            return;
        }
        UpstreamAttempt a = current.get();
        if (c.content().isReadable()) {
            take(a, ByteBufUtil.getBytes(c.content()));
        }
        if (isLast && !a.isOver()) {
            finish(a);
        }
    }

    private void take(UpstreamAttempt a, byte[] data) {
        boolean isSuccess = a.head().orElseThrow().status() / 100 == 2
                && a.head().get().headers().contains(PlatformHeaders.RESPONSE_STAMP);
        if (a.isStreaming() && isSuccess) {
            pool.listener().streamed(a, data);
            return;
        }
        a.append(data);
        if (a.bodyLength() > MAX_BUFFERED_BYTES) {
            fail(Reason.ANSWER_BROKEN);
            channel.close();
        }
    }

    private void finish(UpstreamAttempt a) {
        if (reset) {
            fail(Reason.CONNECTION_LOST);
            return;
        }
        current = Optional.empty();
        a.setOver();
        if (keptAlive && channel.isActive()) {
            pool.idle(this);
        } else {
            channel.close();
        }
        pool.listener().ended(a, AnswerClassifier.classify(a.head().orElseThrow()));
    }

    private void fail(Reason reason) {
        Optional<UpstreamAttempt> a = current;
        current = Optional.empty();
        if (a.isPresent() && !a.get().isOver()) {
            a.get().setOver();
            pool.listener().ended(a.get(), new AttemptOutcome.Broken(reason));
        }
    }

    private void noteKeepAlive(HttpResponse r) {
        long now = System.nanoTime();
        String v = r.headers().get(KEEP_ALIVE);
        announced = v != null && v.matches(".*timeout=[0-9]{1,6}.*");
        if (!announced) {
            usableUntilNanos = now + UNANNOUNCED_KEEP_ALIVE.toNanos();
            return;
        }
        long seconds = Long.parseLong(v.replaceAll(".*timeout=([0-9]+).*", "$1"));
        usableUntilNanos =
                now + Duration.ofSeconds(seconds).minus(KEEP_ALIVE_MARGIN).toNanos();
    }
}

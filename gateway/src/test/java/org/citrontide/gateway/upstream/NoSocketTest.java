package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.ResponseMemory;
import org.citrontide.core.routes.ListedUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests attempts for which no socket can be created. */
final class NoSocketTest {
    private static final int ANY_PORT = 1;

    private record End(AttemptOutcome outcome, boolean isOnEventLoop) {}

    // Guards against an event loop that loses its other work when a process has no file descriptor left.
    @Test
    void attemptWithoutASocketEndsAsUnreachedOnTheEventLoop() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            EventLoop loop = loops.next();
            BlockingQueue<End> ends = new LinkedBlockingQueue<>();
            UpstreamConnectionPool pool = new UpstreamConnectionPool(
                    loop,
                    new EndListener(loop, ends),
                    new ResponseMemory(1),
                    new ResponseFaults(new PrometheusRegistry()),
                    new SendMonitor(new PrometheusRegistry()),
                    () -> {
                        throw new ChannelException("too many open files");
                    });
            loop.submit(() -> pool.send(attempt())).get();
            assertEquals(new End(new AttemptOutcome.Unreached(), true), ends.poll(5, TimeUnit.SECONDS));
            loop.submit(() -> assertTrue(ends.isEmpty())).get();
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static UpstreamAttempt attempt() {
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        ListedUpstream entry = new ListedUpstream("a", "svc", "127.0.0.1", ANY_PORT, "z1", 4, false, 0);
        return new UpstreamAttempt(1, entry, request, Duration.ofSeconds(1), "id-1", false, false);
    }

    /** Records ends of attempts. */
    private record EndListener(EventLoop loop, BlockingQueue<End> ends) implements AttemptListener {
        @Override
        public void headReceived(UpstreamAttempt attempt) {
            throw new IllegalStateException("no connection can be made");
        }

        @Override
        public void dataReceived(UpstreamAttempt attempt, byte[] data) {
            throw new IllegalStateException("no connection can be made");
        }

        @Override
        public void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
            ends.add(new End(outcome, loop.inEventLoop()));
        }
    }
}

package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
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
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.platform.PlatformHeaders;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the remaining time that an upstream is told if its connection is made late. */
final class RemainingTimeTest {
    private static final long REMAINING_MS = 2000;
    private static final long BLOCKED_MS = 700;

    // Guards against upstreams that work on for longer than the caller waits.
    @Test
    void upstreamIsToldTheTimeThatRemainsWhenTheRequestIsWritten() throws Exception {
        assertTrue(remainingAtUpstream(REMAINING_MS) <= REMAINING_MS - BLOCKED_MS);
    }

    // Guards against work that can't be in time any more.
    @Test
    void requestWhoseDeadlinePassedWhileItsConnectionWasMadeIsNotWritten() throws Exception {
        assertEquals(-1, remainingAtUpstream(BLOCKED_MS / 2));
    }

    /** Blocks the event loop while a connection is made; returns the time in ms, or -1 if no request arrives. */
    private static long remainingAtUpstream(long remainingMs) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeHttpUpstream upstream = new FakeHttpUpstream("a", (r, reply) -> reply.awaitClose())) {
            EventLoop loop = loops.next();
            loop.submit(() -> {
                        UpstreamConnectionPool pool = new UpstreamConnectionPool(
                                loop,
                                new NoListener(),
                                new ResponseMemory(1),
                                new ResponseFaults(new PrometheusRegistry()),
                                new SendMonitor(new PrometheusRegistry()));
                        pool.send(attempt(upstream, remainingMs));
                        pause(BLOCKED_MS);
                    })
                    .get();
            pause(500);
            return upstream.requests().isEmpty()
                    ? -1
                    : Long.parseLong(upstream.requests().getFirst().header(PlatformHeaders.REMAINING_MS));
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static UpstreamAttempt attempt(FakeHttpUpstream upstream, long remainingMs) {
        int port = Integer.parseInt(upstream.entry("svc", "ready").replaceAll(".*127.0.0.1:([0-9]+).*", "$1"));
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        ListedUpstream entry = new ListedUpstream("a", "svc", "127.0.0.1", port, "z1", 4, false, 0);
        return new UpstreamAttempt(1, entry, request, Duration.ofMillis(remainingMs), "id-1", false, false);
    }

    private static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ignores the progress of attempts. */
    private static final class NoListener implements AttemptListener {
        @Override
        public void headReceived(UpstreamAttempt attempt) {
            // The tests end before a response.
        }

        @Override
        public void dataReceived(UpstreamAttempt attempt, byte[] data) {
            // The tests end before a response.
        }

        @Override
        public void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
            // The tests end before a response.
        }
    }
}

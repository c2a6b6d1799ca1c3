package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Tests attempts that are withdrawn while their connection is established, and after that. */
final class WithdrawnAttemptTest {
    // Several times what a connection and a response on the loopback take.
    private static final long ARRIVAL_MS = 500;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();
    private final EventLoop loop = loops.next();
    private FakeHttpUpstream upstream;
    private UpstreamConnectionPool pool;

    @BeforeEach
    void start() throws Exception {
        upstream = new FakeHttpUpstream("a", (r, reply) -> {
            TimeUnit.MILLISECONDS.sleep(ARRIVAL_MS);
            reply.writeResponse("200 OK", "hello");
        });
        pool = new UpstreamConnectionPool(
                loop,
                new OutcomeListener(outcomes),
                new ResponseMemory(1 << 20),
                new ResponseFaults(new PrometheusRegistry()),
                new SendMonitor(new PrometheusRegistry()));
    }

    @AfterEach
    void stop() throws Exception {
        upstream.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // Guards against a request that is written to the upstream of an evacuated zone once its connection is established.
    @Test
    void anAttemptWithoutAConnectionIsWithdrawnAndNeverWritten() throws Exception {
        loop.submit(() -> {
                    UpstreamAttempt attempt = attempt();
                    pool.send(attempt);
                    pool.withdraw(attempt);
                })
                .get();
        assertInstanceOf(AttemptOutcome.Withdrawn.class, outcomes.poll(5, TimeUnit.SECONDS));
        assertNull(outcomes.poll(ARRIVAL_MS, TimeUnit.MILLISECONDS));
        assertEquals(0, upstream.requests().size());
    }

    // Guards against a second run of a request that has reached its upstream.
    @Test
    void anAttemptWhoseRequestWasWrittenGoesOn() throws Exception {
        UpstreamAttempt attempt = attempt();
        loop.submit(() -> pool.send(attempt)).get();
        while (upstream.requests().isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        loop.submit(() -> pool.withdraw(attempt)).get();
        assertEquals(new AttemptOutcome.Completed(200), outcomes.poll(5, TimeUnit.SECONDS));
    }

    private UpstreamAttempt attempt() {
        int port = Integer.parseInt(upstream.entry("svc", "ready").replaceAll(".*127.0.0.1:([0-9]+).*", "$1"));
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.headers().set("Citrontide-Attempt-Id", "id-1");
        ListedUpstream entry = new ListedUpstream("a", "svc", "127.0.0.1", port, "z1", 4, false, 0);
        return new UpstreamAttempt(1, entry, request, Duration.ofSeconds(4), "id-1", false, true);
    }

    /** Records the outcomes of attempts. */
    private record OutcomeListener(BlockingQueue<AttemptOutcome> outcomes) implements AttemptListener {
        @Override
        public void headReceived(UpstreamAttempt attempt) {
            // Only the outcome matters.
        }

        @Override
        public void dataReceived(UpstreamAttempt attempt, byte[] data) {
            // Only the outcome matters.
        }

        @Override
        public void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
            outcomes.add(outcome);
        }
    }
}

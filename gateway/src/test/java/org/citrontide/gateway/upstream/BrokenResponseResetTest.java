package org.citrontide.gateway.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.ResponseMemory;
import org.citrontide.core.routes.ListedUpstream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests what an upstream receives of a request whose response is broken before the request has arrived. */
final class BrokenResponseResetTest {
    private static final int RECEIVE_BUFFER_BYTES = 4096;
    // More than the upstream's receive buffer holds, less than the gateway's send buffer does.
    private static final int BODY_BYTES = 256 * 1024;
    private static final String FIRST_RESPONSE =
            "HTTP/1.1 200 OK\r\nCitrontide-Attempt-Id: id-1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
    private static final int TIMEOUT_MS = 5000;

    private final BlockingQueue<AttemptOutcome> outcomes = new LinkedBlockingQueue<>();

    // Guards against attempts that are replaced and reach their upstream beside the retries that replace them.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "no response\r\n",
                "HTTP/1.1 200 OK\r\nX-Cut: HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
            })
    void requestOfABrokenResponseIsNotDeliveredLater(String brokenResponse) throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (ServerSocket server = new ServerSocket()) {
            server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            EventLoop loop = loops.next();
            UpstreamConnectionPool pool = new UpstreamConnectionPool(
                    loop,
                    new OutcomeListener(outcomes),
                    new ResponseMemory(1),
                    new ResponseFaults(new PrometheusRegistry()),
                    new SendMonitor(new PrometheusRegistry()));
            CompletableFuture<Void> sending = CompletableFuture.runAsync(
                    () -> {
                        pool.send(attempt(1, server.getLocalPort(), 0));
                    },
                    loop);
            try (Socket connection = server.accept()) {
                connection.setSoTimeout(TIMEOUT_MS);
                readHead(connection.getInputStream());
                connection.getOutputStream().write(FIRST_RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
                assertInstanceOf(AttemptOutcome.class, outcomes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
                sending.thenRunAsync(() -> pool.send(attempt(2, server.getLocalPort(), BODY_BYTES)), loop)
                        .get();

                readHead(connection.getInputStream());
                connection.getOutputStream().write(brokenResponse.getBytes(StandardCharsets.ISO_8859_1));
                assertInstanceOf(AttemptOutcome.Broken.class, outcomes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));

                int received = countRemaining(connection.getInputStream());
                assertTrue(received < BODY_BYTES, received + " bytes of the body were delivered");
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    private static void readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            assertTrue(b >= 0, "the connection ended");
            head.append((char) b);
        }
    }

    private static int countRemaining(InputStream in) {
        int count = 0;
        try {
            while (in.read() >= 0) {
                count++;
            }
        } catch (IOException e) {
            // A reset ends the count like an end does.
            return count;
        }
        return count;
    }

    private static UpstreamAttempt attempt(int number, int port, int bodyBytes) {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, "/", Unpooled.wrappedBuffer(new byte[bodyBytes]));
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes);
        ListedUpstream entry = new ListedUpstream("a", "svc", "127.0.0.1", port, "z1", 4, false, 0);
        Duration remaining = Duration.ofMillis(TIMEOUT_MS);
        return new UpstreamAttempt(number, entry, request, remaining, "id-" + number, false, false);
    }

    /** Keeps the outcomes of attempts. */
    private record OutcomeListener(BlockingQueue<AttemptOutcome> outcomes) implements AttemptListener {
        @Override
        public void headReceived(UpstreamAttempt attempt) {
            // Only the end of an attempt matters here.
        }

        @Override
        public void dataReceived(UpstreamAttempt attempt, byte[] data) {
            // The responses have no bodies.
        }

        @Override
        public void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
            outcomes.add(outcome);
        }
    }
}

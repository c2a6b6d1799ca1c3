package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.core.expertmap.OrderOutcome;
import org.citrontide.core.expertmap.RankOrder;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.platform.EngineCalls;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls servers of the platform whose responses violate the grammar of HTTP. */
final class PlatformClientMalformedResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String BODY = "{\"items\":[],\"at\":7,\"revision\":7,\"lease\":1,\"ttl_ms\":2000,\"step\":1}";
    private static final PlatformCall STORE_WRITE =
            MetadataStore.transaction(Map.of("k", 0L), Map.of("k", new byte[1]), 0, List.of());
    private static final PlatformCall ORDER = EngineCalls.sendOrder(new RankOrder.Hold(8), 1);

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final AtomicInteger closedConnections = new AtomicInteger();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "999"})
    void responseWithAnInvalidStatusCodeAnswersNoCall(String code) throws Exception {
        checkFailed("HTTP/1.1 " + code + " Broken\r\nContent-Length: " + BODY.length() + "\r\n\r\n" + BODY);
        checkFailed("HTTP/1.1 " + code + " Broken\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(BODY.length()) + "\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length : 2\r\nContent-Length: 2\r\n\r\n{}",
                "X\u0000: a\r\nContent-Length: 2\r\n\r\n{}",
                "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
                "Transfer-Encoding: identity\r\nContent-Length: 2\r\n\r\n{}",
                "Transfer-Encoding: chunked\r\n\r\n2;=a\r\n{}\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX : a\r\n\r\n"
            })
    void responseWithMalformedFieldsOrFramingAnswersNoCall(String rest) throws Exception {
        checkFailed("HTTP/1.1 200 OK\r\n" + rest);
    }

    // A refused order was not carried out; after a malformed response it may have been.
    @Test
    void orderWithAMalformedResponseIsUnansweredInsteadOfRefused() throws Exception {
        String[] response = {"HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"};
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> reply.write(response[0]))) {
            PlatformClient client = PlatformClient.forEngines(loop);
            assertEquals(OrderOutcome.REFUSED, outcomeOfOrder(client, address(engine)));
            response[0] = "HTTP/1.1 000 Broken\r\nContent-Length: 0\r\n\r\n";
            assertEquals(OrderOutcome.UNANSWERED, outcomeOfOrder(client, address(engine)));
        }
    }

    /** Calls the store, a peer and an engine, each of which sends the response. */
    private void checkFailed(String response) throws Exception {
        Function<EventLoop, PlatformClient> store = PlatformClient::forStore;
        Function<EventLoop, PlatformClient> engine = PlatformClient::forEngines;
        checkFailed(response, store, MetadataStore.range("servers/", ""));
        checkFailed(response, store, MetadataStore.watch("servers/", 1, TIMEOUT));
        checkFailed(response, store, STORE_WRITE);
        checkFailed(response, store, MetadataStore.grantLease(TIMEOUT));
        checkFailed(response, store, MetadataStore.renewLease(1));
        checkFailed(response, store, new PlatformCall("POST", CrashEvidenceStore.PEER_PATH, new byte[1]));
        checkFailed(response, engine, EngineCalls.readReport());
        checkFailed(response, engine, EngineCalls.readCounts());
        checkFailed(response, engine, ORDER);
    }

    private void checkFailed(String response, Function<EventLoop, PlatformClient> newClient, PlatformCall call)
            throws Exception {
        closedConnections.set(0);
        try (FakeHttpUpstream server = new FakeHttpUpstream("a", (r, reply) -> {
            reply.write(response);
            try {
                reply.awaitClose();
            } finally {
                closedConnections.incrementAndGet();
            }
        })) {
            PlatformClient client = newClient.apply(loop);
            ExecutionException failure =
                    assertThrows(ExecutionException.class, () -> call(client, address(server), call), call.target());
            assertInstanceOf(IOException.class, failure.getCause());
            assertTrue(failure.getCause().getMessage().startsWith("malformed response"), failure.toString());
            await(() -> closedConnections.get() == 1);
        }
    }

    private PlatformResponse call(PlatformClient client, InetSocketAddress address, PlatformCall call)
            throws Exception {
        return CompletableFuture.supplyAsync(() -> client.call(address, call, TIMEOUT), loop)
                .thenCompose(f -> f)
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Returns the outcome as the controller of a map derives it. */
    private OrderOutcome outcomeOfOrder(PlatformClient client, InetSocketAddress address) throws Exception {
        try {
            return EngineCalls.orderOutcome(call(client, address, ORDER).status());
        } catch (ExecutionException e) {
            assertInstanceOf(IOException.class, e.getCause());
            return OrderOutcome.UNANSWERED;
        }
    }

    private static InetSocketAddress address(FakeHttpUpstream server) {
        String port = server.entry("svc", "ready").replaceAll(".*127.0.0.1:([0-9]+).*", "$1");
        return new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadline, "the connection is still open");
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }
}

package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiFunction;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.platform.PlatformCall;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls a server that sends the beginning of a second response, or all of it, on a kept connection. */
final class PlatformClientMixedResponseTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    // Far below the timeout of the calls, and far above what a busy machine needs for a response on loopback.
    private static final Duration PROMPT = Duration.ofSeconds(3);
    private static final String EXTRA =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 3\r\n\r\nold";
    private static final int EXTRA_HEAD_LENGTH = EXTRA.length() - "old".length();
    private static final String FIRST = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    private static final String NEXT = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nnext";

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final Map<Thread, String> bytesBeforeNext = new ConcurrentHashMap<>();
    private final Semaphore extraWritten = new Semaphore(0);
    private FakeHttpUpstream server;
    private InetSocketAddress address;

    /** When the additional bytes are written. */
    private enum Arrival {
        GLUED,
        AFTER_1_MS,
        AFTER_6_MS,
        WITH_NEXT
    }

    @BeforeEach
    void start() throws IOException {
        server = new FakeHttpUpstream("a", (r, reply) -> {
            String[] path = r.requestLine().split("[/ ]+");
            if (path[1].equals("next")) {
                String before = bytesBeforeNext.remove(Thread.currentThread());
                reply.write((before == null ? "" : before) + NEXT);
                return;
            }
            String extra = EXTRA.substring(0, Integer.parseInt(path[2]));
            Arrival arrival = Arrival.valueOf(path[1]);
            reply.write(arrival == Arrival.GLUED ? FIRST + extra : FIRST);
            switch (arrival) {
                case GLUED -> {}
                case AFTER_1_MS -> writeLater(reply, extra, 1);
                case AFTER_6_MS -> writeLater(reply, extra, 6);
                case WITH_NEXT -> bytesBeforeNext.put(Thread.currentThread(), extra);
                default -> throw new IllegalStateException();
            }
        });
        String entry = server.entry("svc", "ready");
        address =
                new InetSocketAddress("127.0.0.1", Integer.parseInt(entry.replaceAll(".*127.0.0.1:([0-9]+).*", "$1")));
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    // Guards against a response that is put together from the bytes of two.
    @ParameterizedTest
    @EnumSource(Arrival.class)
    void bytesAfterAResponseAreNoPartOfTheNext(Arrival arrival) throws Exception {
        List<String> mixed = new ArrayList<>();
        for (int cut = 1; cut <= EXTRA.length(); cut++) {
            boolean isKnownToArriveBefore = arrival == Arrival.GLUED || arrival == Arrival.WITH_NEXT;
            if (!isKnownToArriveBefore && cut >= EXTRA_HEAD_LENGTH) {
                // A body that arrives in a part of its own after the request was written can't be told from its own.
                continue;
            }
            check(arrival, cut, (client, target) -> callBoth(client, target, false), mixed);
        }
        assertEquals(List.of(), mixed);
    }

    // Guards against late bytes of an idle connection that are read only after it was reused.
    @ParameterizedTest
    @EnumSource(
            value = Arrival.class,
            names = {"AFTER_1_MS", "AFTER_6_MS"})
    void bytesThatArrivedBeforeTheReuseAreNoPartOfTheNext(Arrival arrival) throws Exception {
        List<String> mixed = new ArrayList<>();
        for (int cut = 1; cut <= EXTRA.length(); cut++) {
            check(arrival, cut, (client, target) -> callBoth(client, target, true), mixed);
            check(arrival, cut, this::callBothWhileLoopIsBusy, mixed);
        }
        assertEquals(List.of(), mixed);
    }

    // Guards against connections that are given up although nothing arrived on them.
    @Test
    void connectionWithoutAdditionalBytesIsReused() throws Exception {
        PlatformClient client = PlatformClient.forEngines(loop);
        for (int i = 0; i < 20; i++) {
            assertEquals("500 next", outcome(call(client, "/next")));
        }
        assertEquals(1, server.openConnections());
    }

    private void check(
            Arrival arrival,
            int cut,
            BiFunction<PlatformClient, String, CompletableFuture<PlatformResponse>> calls,
            List<String> mixed)
            throws Exception {
        PlatformClient client = PlatformClient.forEngines(loop);
        String outcome = outcome(calls.apply(client, "/" + arrival + "/" + cut));
        if (!outcome.equals("500 next") && !outcome.equals("failed")) {
            mixed.add(arrival + " cut " + cut + ": " + outcome);
        }
    }

    private CompletableFuture<PlatformResponse> callBoth(PlatformClient client, String target, boolean isAfterExtra) {
        // The first response may fail as well, if the bytes behind it arrive with it.
        outcomeOfFirst(call(client, target));
        if (isAfterExtra) {
            awaitExtra();
        }
        return call(client, "/next");
    }

    /** Sends the next call from the callback of the first, after a time in which the event loop reads nothing. */
    private CompletableFuture<PlatformResponse> callBothWhileLoopIsBusy(PlatformClient client, String target) {
        CompletableFuture<PlatformResponse> next = new CompletableFuture<>();
        call(client, target).whenComplete((first, failure) -> {
            awaitExtra();
            client.call(address, PlatformCall.get("/next"), TIMEOUT).whenComplete((r, f) -> {
                if (f != null) {
                    next.completeExceptionally(f);
                } else {
                    next.complete(r);
                }
            });
        });
        return next;
    }

    private CompletableFuture<PlatformResponse> call(PlatformClient client, String target) {
        return CompletableFuture.supplyAsync(() -> client.call(address, PlatformCall.get(target), TIMEOUT), loop)
                .thenCompose(f -> f);
    }

    private static void outcomeOfFirst(CompletableFuture<PlatformResponse> response) {
        try {
            String outcome = outcome(response);
            assertEquals("200 first", outcome.equals("failed") ? "200 first" : outcome);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String outcome(CompletableFuture<PlatformResponse> response) throws InterruptedException {
        try {
            PlatformResponse r = response.get(PROMPT.toMillis(), TimeUnit.MILLISECONDS);
            return r.status() + " " + new String(r.body(), StandardCharsets.US_ASCII);
        } catch (ExecutionException e) {
            assertInstanceOf(IOException.class, e.getCause());
            return "failed";
        } catch (TimeoutException e) {
            return "no outcome within " + PROMPT;
        }
    }

    private void writeLater(FakeHttpUpstream.Reply reply, String extra, int delayMs) throws IOException {
        pause(delayMs);
        reply.write(extra);
        extraWritten.release();
    }

    private void awaitExtra() {
        try {
            assertTrue(extraWritten.tryAcquire(PROMPT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

package org.citrontide.gateway.store;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.citrontide.fakes.net.HoldingProxy;
import org.citrontide.fakes.platform.FakeHttpUpstream;
import org.citrontide.platform.PlatformCall;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Calls engines that repeat the response to an earlier order, or break off a response without a length. */
final class PlatformClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int ORDERS = 10;

    @Test
    void repeatedResponseConfirmsNoOrderOnAConnectionOfItsOwn() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        Set<Thread> answeredConnections = ConcurrentHashMap.newKeySet();
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> {
            if (!answeredConnections.add(Thread.currentThread())) {
                writeStatus(reply, "202 Accepted");
                // A response by itself; one that arrives with the next fails the call.
                TimeUnit.MILLISECONDS.sleep(20);
            }
            writeStatus(reply, r.body().contains("prepare") ? "202 Accepted" : "409 Conflict");
        })) {
            InetSocketAddress address = address(engine);
            EventLoop loop = loops.next();
            PlatformClient client = PlatformClient.forEngines(loop);
            for (int i = 0; i < ORDERS; i++) {
                assertEquals(202, status(loop, () -> client.call(address, order("prepare"), TIMEOUT)));
                assertEquals(409, status(loop, () -> client.callOnNewConnection(address, order("arm"), TIMEOUT)));
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against connections that fell silent together and each cost the timeout of a call.
    @Test
    void aCallWithoutResponseClosesTheIdleConnectionsThatFellSilentWithItsOwn() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CyclicBarrier allCalled = new CyclicBarrier(3);
        AtomicBoolean isTogether = new AtomicBoolean(true);
        try (FakeHttpUpstream store = new FakeHttpUpstream("a", (r, reply) -> {
                    if (isTogether.get()) {
                        awaitAll(allCalled);
                    }
                    writeStatus(reply, "200 OK");
                });
                HoldingProxy proxy = new HoldingProxy(address(store).getPort())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", proxy.port());
            EventLoop loop = loops.next();
            PlatformClient client = PlatformClient.forStore(loop);
            PlatformCall call = new PlatformCall("GET", "/", new byte[0]);
            List<CompletableFuture<PlatformResponse>> first = Stream.generate(
                            () -> loop.submit(() -> client.call(address, call, TIMEOUT))
                                    .syncUninterruptibly()
                                    .getNow())
                    .limit(3)
                    .toList();
            for (CompletableFuture<PlatformResponse> f : first) {
                assertEquals(200, f.get().status());
            }
            isTogether.set(false);
            proxy.silence();
            ExecutionException failure = assertThrows(
                    ExecutionException.class,
                    () -> status(loop, () -> client.call(address, call, Duration.ofMillis(300))));
            assertInstanceOf(UnansweredCallException.class, failure.getCause());
            assertEquals(200, status(loop, () -> client.call(address, call, TIMEOUT)));
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against descriptors that are lost to engines that are gone without notice.
    @Test
    void anIdleConnectionIsClosedAfterItsLimit() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> writeStatus(reply, "200 OK"))) {
            EventLoop loop = loops.next();
            PlatformClient client = new PlatformClient(loop, 1000, false, Duration.ofMillis(200));
            PlatformCall call = new PlatformCall("GET", "/", new byte[0]);
            assertEquals(200, status(loop, () -> client.call(address(engine), call, TIMEOUT)));
            long deadline = System.nanoTime() + TIMEOUT.toNanos();
            while (engine.openConnections() > 0) {
                assertTrue(System.nanoTime() < deadline, "the connection is still open");
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertEquals(200, status(loop, () -> client.call(address(engine), call, TIMEOUT)));
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against documents of the platform that are cut off by a reset and taken for complete.
    @Test
    void responseWithoutLengthIsCompleteOnlyIfItsConnectionIsNotReset() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> {
            reply.write("HTTP/1.1 200 OK\r\n\r\n{\"step\":1");
            TimeUnit.MILLISECONDS.sleep(50);
            if (r.requestLine().contains("/reset")) {
                reply.reset();
            }
            throw new IOException("the end of the response");
        })) {
            InetSocketAddress address = address(engine);
            EventLoop loop = loops.next();
            PlatformClient client = PlatformClient.forEngines(loop);
            PlatformCall whole = new PlatformCall("GET", "/whole", new byte[0]);
            PlatformCall reset = new PlatformCall("GET", "/reset", new byte[0]);
            assertEquals(200, status(loop, () -> client.call(address, whole, TIMEOUT)));
            ExecutionException failure = assertThrows(
                    ExecutionException.class, () -> status(loop, () -> client.call(address, reset, TIMEOUT)));
            assertInstanceOf(IOException.class, failure.getCause());
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against an engine whose endless responses take up the memory of a page of the store each.
    @Test
    void responseOfAnEngineIsLimitedToTheSizeOfItsDocuments() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> {
            int bytes = Integer.parseInt(r.requestLine().split("[/ ]")[2]);
            reply.write("HTTP/1.1 200 OK\r\nContent-Length: " + bytes + "\r\n\r\n" + "1".repeat(bytes));
        })) {
            InetSocketAddress address = address(engine);
            EventLoop loop = loops.next();
            PlatformClient engines = PlatformClient.forEngines(loop);
            PlatformClient store = PlatformClient.forStore(loop);
            PlatformCall counts = PlatformCall.get("/250000");
            PlatformCall page = PlatformCall.get("/2000000");
            assertEquals(200, status(loop, () -> engines.call(address, counts, TIMEOUT)));
            assertEquals(200, status(loop, () -> store.call(address, page, TIMEOUT)));
            ExecutionException failure = assertThrows(
                    ExecutionException.class, () -> status(loop, () -> engines.call(address, page, TIMEOUT)));
            assertInstanceOf(IOException.class, failure.getCause());
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against orders and writes that are carried out long after their sender gave them up.
    @Test
    void callGivenUpWhileItsBytesAreHeldUpDoesNotArriveLater() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        AtomicInteger arrivals = new AtomicInteger();
        byte[] body = new byte[60 * 1024];
        try (FakeHttpUpstream engine = new FakeHttpUpstream("a", (r, reply) -> {
                    if (r.body().length() == body.length) {
                        arrivals.incrementAndGet();
                    }
                    writeStatus(reply, "202 Accepted");
                });
                HoldingProxy path = new HoldingProxy(address(engine).getPort())) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", path.port());
            EventLoop loop = loops.next();
            PlatformClient client = PlatformClient.forEngines(loop);
            PlatformCall order = new PlatformCall("POST", "/-/order", body);
            assertEquals(202, status(loop, () -> client.call(address, order, TIMEOUT)));
            path.setHeld(true);
            Duration timeout = Duration.ofMillis(300);
            for (int i = 0; i < ORDERS; i++) {
                assertThrows(ExecutionException.class, () -> status(loop, () -> client.call(address, order, timeout)));
            }
            path.setHeld(false);
            TimeUnit.MILLISECONDS.sleep(1000);
            assertEquals(1, arrivals.get());
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
        }
    }

    // Guards against orders and writes that are carried out although their sender was told that they failed.
    @Test
    void callWhoseResponseIsBrokenBeforeItArrivedDoesNotArriveLater() throws Exception {
        MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        byte[] body = new byte[256 * 1024];
        try (ServerSocket engine = new ServerSocket()) {
            engine.setReceiveBufferSize(4096);
            engine.bind(new InetSocketAddress("127.0.0.1", 0));
            EventLoop loop = loops.next();
            PlatformClient client = PlatformClient.forEngines(loop);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", engine.getLocalPort());
            PlatformCall order = new PlatformCall("POST", "/-/order", body);
            CompletableFuture<Integer> call = CompletableFuture.supplyAsync(
                            () -> client.call(address, order, TIMEOUT), loop)
                    .thenCompose(r -> r)
                    .thenApply(PlatformResponse::status);
            try (Socket connection = engine.accept()) {
                connection.setSoTimeout((int) TIMEOUT.toMillis());
                assertEquals('P', connection.getInputStream().read());
                connection.getOutputStream().write("no response\r\n".getBytes(StandardCharsets.ISO_8859_1));
                assertThrows(ExecutionException.class, call::get);
                int received = countRemaining(connection.getInputStream());
                assertTrue(received < body.length, received + " bytes were delivered");
            }
        } finally {
            loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
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

    private static InetSocketAddress address(FakeHttpUpstream engine) {
        String entry = engine.entry("svc", "ready");
        int port = Integer.parseInt(entry.replaceAll(".*127.0.0.1:([0-9]+).*", "$1"));
        return new InetSocketAddress("127.0.0.1", port);
    }

    private static void writeStatus(FakeHttpUpstream.Reply reply, String status) throws IOException {
        reply.write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static PlatformCall order(String operation) {
        return new PlatformCall("POST", "/-/order", ("{\"operation\":\"" + operation + "\"}").getBytes());
    }

    private static int status(EventLoop loop, Supplier<CompletableFuture<PlatformResponse>> call) throws Exception {
        return CompletableFuture.supplyAsync(call, loop)
                .thenCompose(f -> f)
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .status();
    }

    private static void awaitAll(CyclicBarrier barrier) throws IOException, InterruptedException {
        try {
            barrier.await();
        } catch (BrokenBarrierException e) {
            throw new IOException(e);
        }
    }
}

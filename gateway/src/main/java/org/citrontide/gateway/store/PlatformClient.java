package org.citrontide.gateway.store;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import org.citrontide.gateway.http.MalformedResponseException;
import org.citrontide.gateway.http.ProbedSocketChannel;
import org.citrontide.gateway.http.ResponseDecoder;
import org.citrontide.gateway.http.UnexpectedBytes;
import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.eventloop.OutOfMemoryExit;
import org.citrontide.runtime.log.EventLog;

/**
 * HTTP client for the platform's own interfaces. Sends one call at a time on each connection and reuses idle
 * connections.
 *
 * <p>Invariants: each future completes, at the latest after its timeout; a connection on which a call got no response
 * is not reused, nor is one on which anything arrived behind a response; a call to the store or a peer without a
 * response closes the idle connections to the same address that have been silent since it was sent, because they may
 * all have fallen silent at once; after a timeout or a malformed response a connection is reset, which drops what is
 * unsent; a call with bytes behind its response fails, because responses have no IDs and the first may repeat that to
 * an earlier call; a response whose end is decoded after the channel was closed is incomplete, because the channel
 * stays open when the server ends the connection (half-closure). Not thread-safe: confined to the event loop.
 */
public final class PlatformClient {
    private static final EventLog LOG = EventLog.of(PlatformClient.class);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1000);
    // A page of the store ends after about a megabyte of values, the last of which may have a megabyte too, and Base64
    // adds a third. Reading a response takes about three times its size of the heap.
    private static final int MAX_STORE_RESPONSE_BYTES = 4 * 1024 * 1024;
    // The longest response is the counts of all experts: 60 sets of 384 numbers of up to ten digits have 250 KB.
    private static final int MAX_ENGINE_RESPONSE_BYTES = 512 * 1024;
    // Longer than the interval between two renewals of a gateway's registration, the rarest periodic call.
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);

    private final EventLoop loop;
    private final int maxResponseBytes;
    private final boolean isAlwaysAnswered;
    private final IdleConnections<Connection> idleConnections;
    private long callCount;
    private boolean isUnreadableEraLogged;

    /**
     * Creates a client.
     *
     * @param isAlwaysAnswered whether a call without a response shows that connections have fallen silent; engines
     *     leave orders unanswered on connections that work
     * @param idleLimit time after which an idle connection is closed, also one that its server dropped without notice
     */
    PlatformClient(EventLoop loop, int maxResponseBytes, boolean isAlwaysAnswered, Duration idleLimit) {
        this.loop = loop;
        this.maxResponseBytes = maxResponseBytes;
        this.isAlwaysAnswered = isAlwaysAnswered;
        this.idleConnections = new IdleConnections<>(loop, idleLimit);
    }

    /**
     * Creates a client without connections for calls to the store and to other gateways.
     *
     * @param loop event loop that runs all calls
     * @return the client
     */
    public static PlatformClient forStore(EventLoop loop) {
        return new PlatformClient(loop, MAX_STORE_RESPONSE_BYTES, true, IDLE_LIMIT);
    }

    /**
     * Creates a client without connections for calls to engines, whose responses are short.
     *
     * @param loop event loop that runs all calls
     * @return the client
     */
    public static PlatformClient forEngines(EventLoop loop) {
        return new PlatformClient(loop, MAX_ENGINE_RESPONSE_BYTES, false, IDLE_LIMIT);
    }

    /**
     * Sends a call.
     *
     * @param address address of the server
     * @param call the call to send
     * @param timeout maximum time until the response
     * @return the response; completes exceptionally with an {@link IOException} if there is none, which is a
     *     {@link ResponseTooLargeException} if the response exceeds the limit of this client, and an
     *     {@link UnansweredCallException} if the call was sent but its connection brought no complete response
     */
    public CompletableFuture<PlatformResponse> call(InetSocketAddress address, PlatformCall call, Duration timeout) {
        callCount++;
        CompletableFuture<PlatformResponse> response = new CompletableFuture<>();
        Optional<Connection> idle = idleConnections.poll(address);
        while (idle.isPresent() && !idle.get().isReusable()) {
            idle = idleConnections.poll(address);
        }
        if (idle.isEmpty()) {
            connect(address, call, timeout, response);
            return response;
        }
        idle.get().send(call, response);
        scheduleTimeout(timeout, response, idle.get());
        return response;
    }

    /**
     * Sends a call on a connection of its own, so that its response can't be an unsolicited one to an earlier call.
     *
     * @param address address of the server
     * @param call the call to send
     * @param timeout maximum time until the response
     * @return the response; completes exceptionally with an {@link IOException} if there is none
     */
    public CompletableFuture<PlatformResponse> callOnNewConnection(
            InetSocketAddress address, PlatformCall call, Duration timeout) {
        callCount++;
        CompletableFuture<PlatformResponse> response = new CompletableFuture<>();
        connect(address, call, timeout, response);
        return response;
    }

    /**
     * Returns the number of calls sent.
     *
     * @return number of calls since the client was created
     */
    public long callCount() {
        return callCount;
    }

    private void connect(
            InetSocketAddress address,
            PlatformCall call,
            Duration timeout,
            CompletableFuture<PlatformResponse> response) {
        ResponseDecoder decoder = new ResponseDecoder(List.of());
        Connection connection = new Connection(address, decoder);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(ProbedSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel c) {
                        c.pipeline()
                                .addLast(
                                        new HttpRequestEncoder(),
                                        decoder,
                                        new HttpObjectAggregator(maxResponseBytes),
                                        connection);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        scheduleTimeout(timeout, response, connection);
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                connection.channel = (ProbedSocketChannel) connecting.channel();
                connection.sendUnlessDone(call, response);
            } else {
                response.completeExceptionally(new IOException("can't connect to " + address, f.cause()));
            }
        });
    }

    private void scheduleTimeout(
            Duration timeout, CompletableFuture<PlatformResponse> response, Connection connection) {
        Future<?> timer =
                loop.schedule(() -> connection.handleTimeout(response), timeout.toMillis(), TimeUnit.MILLISECONDS);
        response.whenComplete((r, f) -> timer.cancel(false));
    }

    /** A connection that carries one call at a time. */
    private final class Connection extends SimpleChannelInboundHandler<Object> implements IdleConnections.Connection {
        private final InetSocketAddress address;
        private final ResponseDecoder decoder;
        private ProbedSocketChannel channel;
        private CompletableFuture<PlatformResponse> pendingResponse;
        private long sentNanos;
        private long respondedNanos;

        private Connection(InetSocketAddress address, ResponseDecoder decoder) {
            this.address = address;
            this.decoder = decoder;
        }

        @Override
        public InetSocketAddress address() {
            return address;
        }

        @Override
        public long respondedNanos() {
            return respondedNanos;
        }

        @Override
        public void close() {
            channel.close();
        }

        /** Returns whether a call may be sent; closes the connection if anything arrived since the last response. */
        private boolean isReusable() {
            if (!channel.isActive()) {
                return false;
            }
            int arrivedBytes = channel.probe();
            if (arrivedBytes == 0 && decoder.isAtBoundary()) {
                return true;
            }
            if (arrivedBytes > 0) {
                logDrop("bytes-before-call");
            }
            channel.close();
            return false;
        }

        private void send(PlatformCall call, CompletableFuture<PlatformResponse> response) {
            pendingResponse = response;
            sentNanos = System.nanoTime();
            DefaultFullHttpRequest r = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.valueOf(call.method()),
                    call.target(),
                    Unpooled.wrappedBuffer(call.body()));
            r.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
            if (call.body().length > 0) {
                r.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            }
            call.headers().forEach(r.headers()::set);
            HttpUtil.setContentLength(r, call.body().length);
            decoder.expectResponseTo(call.method());
            channel.writeAndFlush(r);
        }

        private void sendUnlessDone(PlatformCall call, CompletableFuture<PlatformResponse> response) {
            if (response.isDone()) {
                channel.close();
                return;
            }
            send(call, response);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Object message) {
            switch (message) {
                case UnexpectedBytes b -> drop("bytes-without-call");
                case FullHttpResponse r -> handleResponse(r);
                default -> throw new IllegalArgumentException("unknown message " + message);
            }
        }

        private void handleResponse(FullHttpResponse r) {
            if (r.decoderResult().isFailure()) {
                drop(MalformedResponseException.reasonOf(r.decoderResult().cause()));
                return;
            }
            if (r.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            if (pendingResponse == null || !channel.isActive()) {
                failUnanswered(pendingResponse, "connection lost within the response");
                return;
            }
            if (decoder.unreadBytes() > 0 || channel.probe() > 0) {
                // No ID tells which of the two is the response to the call.
                drop("bytes-after-response");
                return;
            }
            CompletableFuture<PlatformResponse> response = pendingResponse;
            pendingResponse = null;
            respondedNanos = System.nanoTime();
            if (HttpUtil.isKeepAlive(r)) {
                idleConnections.add(this);
            } else {
                channel.close();
            }
            response.complete(new PlatformResponse(r.status().code(), ByteBufUtil.getBytes(r.content()), storeEra(r)));
        }

        private OptionalLong storeEra(FullHttpResponse r) {
            String value = r.headers().get(PlatformHeaders.STORE_ERA);
            if (value == null) {
                return OptionalLong.empty();
            }
            try {
                return OptionalLong.of(MetadataStore.decodeEra(value));
            } catch (DecodeException e) {
                if (!isUnreadableEraLogged) {
                    isUnreadableEraLogged = true;
                    LOG.warn("store-era-unreadable")
                            .with("address", address)
                            .with("why", e.getMessage())
                            .write();
                }
                return OptionalLong.empty();
            }
        }

        /** Closes a connection that can't be read any more. */
        private void drop(String reason) {
            logDrop(reason);
            reset();
            fail(pendingResponse, "malformed response, " + reason);
        }

        private void logDrop(String reason) {
            LOG.warn("platform-connection-dropped")
                    .with("address", address)
                    .with("why", reason)
                    .write();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idleConnections.remove(this);
            failUnanswered(pendingResponse, "connection closed");
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
            if (cause instanceof TooLongHttpContentException) {
                failWith(pendingResponse, new ResponseTooLargeException(address, maxResponseBytes));
            }
            ctx.close();
        }

        private void handleTimeout(CompletableFuture<PlatformResponse> response) {
            if (response.isDone()) {
                return;
            }
            pendingResponse = null;
            if (channel == null) {
                fail(response, "no connection within the timeout");
                return;
            }
            reset();
            if (isAlwaysAnswered) {
                closeSilentConnections();
            }
            failUnanswered(response, "no response within the timeout");
        }

        /** Closes the idle connections to the same address that may have fallen silent together with this one. */
        private void closeSilentConnections() {
            int closed = idleConnections.closeSilent(address, sentNanos);
            if (closed > 0) {
                LOG.info("platform-connections-closed")
                        .with("address", address)
                        .with("why", "silent")
                        .with("count", closed)
                        .write();
            }
        }

        /** Closes the connection without sending the rest, so that a call can't arrive after it was given up. */
        private void reset() {
            if (channel.isOpen()) {
                channel.config().setOption(ChannelOption.SO_LINGER, 0);
            }
            channel.close();
        }

        private void fail(CompletableFuture<PlatformResponse> response, String reason) {
            failWith(response, new IOException(reason + ": " + address));
        }

        private void failUnanswered(CompletableFuture<PlatformResponse> response, String reason) {
            failWith(response, new UnansweredCallException(address, reason));
        }

        private void failWith(CompletableFuture<PlatformResponse> response, IOException failure) {
            pendingResponse = null;
            if (response != null) {
                response.completeExceptionally(failure);
            }
        }
    }
}

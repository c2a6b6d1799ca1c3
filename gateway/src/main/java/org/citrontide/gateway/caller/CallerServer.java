package org.citrontide.gateway.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.citrontide.core.memory.ProgressRule;
import org.citrontide.core.routes.CallerLimits;
import org.citrontide.gateway.memory.MemoryGuard;
import org.citrontide.runtime.eventloop.GuardedTask;

/**
 * Accepts the connections of callers and closes those that exceed a timeout.
 *
 * <p>Not thread-safe: owned by the event loop once the server listens, except for {@link #unwrittenResponses}.
 */
public final class CallerServer {
    // Precise enough for timeouts of seconds.
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    private static final int BACKLOG = 1024;
    private static final Duration PRESSURE_INTERVAL = Duration.ofMillis(100);
    // Callers that make progress end their requests within it; half of what a caller waits for a request to be read.
    private static final Duration MAX_PAUSE = Duration.ofMillis(500);
    // One read a turn, so that a caller with much to send leaves the others their turn.
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private final EventLoopGroup loop;
    private final CallerListener listener;
    private final Supplier<CallerLimits> limits;
    private final int maxConnections;
    private final MemoryGuard memoryGuard;
    private final ProgressRule progressRule;
    private final Set<CallerConnection> pressed = new HashSet<>();
    private StrictRequestDecoder headDecoder = new StrictRequestDecoder(CallerLimits.INITIAL.headerBytes());
    private int headDecoderBytes = CallerLimits.INITIAL.headerBytes();
    private final Runnable pressureCheck = new GuardedTask("caller-memory", this::checkPressure);
    private long pressedSinceNanos;
    private boolean isPressureCheckDue;
    private final Set<CallerConnection> openConnections = new HashSet<>();
    private final AtomicInteger unwrittenResponses = new AtomicInteger();

    /**
     * Creates a server.
     *
     * @param loop event loop of all connections
     * @param listener receives the requests
     * @param limits supplies the limits in force
     * @param maxConnections maximum number of connections; further ones are closed immediately
     * @param memoryGuard bounds the memory of requests
     * @param progressRule bounds the time of incomplete bodies
     */
    public CallerServer(
            EventLoopGroup loop,
            CallerListener listener,
            Supplier<CallerLimits> limits,
            int maxConnections,
            MemoryGuard memoryGuard,
            ProgressRule progressRule) {
        this.loop = loop;
        this.listener = listener;
        this.limits = limits;
        this.maxConnections = maxConnections;
        this.memoryGuard = memoryGuard;
        this.progressRule = progressRule;
    }

    /**
     * Starts to accept connections.
     *
     * @param address IP address and port to listen on
     * @throws IOException if the address can't be bound
     */
    public void listen(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpResponseEncoder(), createConnection());
                    }
                });
        ChannelFuture bindFuture = bootstrap.bind(address).awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            throw new IOException("can't listen for callers on " + address, bindFuture.cause());
        }
        loop.next()
                .scheduleAtFixedRate(
                        new GuardedTask("caller-timeouts", this::checkTimeouts),
                        CHECK_INTERVAL.toMillis(),
                        CHECK_INTERVAL.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /** Closes the connections without a request in progress. */
    public void closeIdleConnections() {
        List.copyOf(openConnections).forEach(CallerConnection::closeIfIdle);
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections
     */
    public int connectionCount() {
        return openConnections.size();
    }

    /**
     * Returns the number of complete responses that the network has not taken over yet, because their callers read
     * slowly. May be called by any thread.
     *
     * @return number of responses
     */
    public int unwrittenResponses() {
        return unwrittenResponses.get();
    }

    CallerListener listener() {
        return listener;
    }

    CallerLimits limits() {
        return limits.get();
    }

    MemoryGuard memoryGuard() {
        return memoryGuard;
    }

    ProgressRule progressRule() {
        return progressRule;
    }

    /** Sets whether reading from a connection is paused because a bound on memory is near. */
    void setPressed(CallerConnection connection, boolean isPressed) {
        if (!isPressed) {
            pressed.remove(connection);
        } else if (pressed.add(connection) && pressed.size() == 1) {
            pressedSinceNanos = System.nanoTime();
            schedulePressureCheck();
        }
    }

    private void schedulePressureCheck() {
        if (!isPressureCheckDue) {
            isPressureCheckDue = true;
            loop.next().schedule(pressureCheck, PRESSURE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    void connectionOpened(CallerConnection connection) {
        openConnections.add(connection);
        if (openConnections.size() > maxConnections) {
            connection.abort();
        }
    }

    void connectionClosed(CallerConnection connection, int discardedResponses) {
        openConnections.remove(connection);
        pressed.remove(connection);
        unwrittenResponses.addAndGet(-discardedResponses);
    }

    void responseQueued() {
        unwrittenResponses.incrementAndGet();
    }

    void responseWritten() {
        unwrittenResponses.decrementAndGet();
    }

    private CallerConnection createConnection() {
        int headerBytes = limits.get().headerBytes();
        if (headerBytes != headDecoderBytes) {
            headDecoder = new StrictRequestDecoder(headerBytes);
            headDecoderBytes = headerBytes;
        }
        return CallerConnection.create(this, headDecoder, headerBytes);
    }

    /** Goes on reading once there is memory again, and refuses a caller if that takes too long. */
    private void checkPressure() {
        isPressureCheckDue = false;
        if (pressed.isEmpty()) {
            return;
        }
        if (System.nanoTime() - pressedSinceNanos > MAX_PAUSE.toNanos()) {
            memoryGuard.relieve();
        }
        List.copyOf(pressed).forEach(CallerConnection::updateReading);
        if (!pressed.isEmpty()) {
            schedulePressureCheck();
        }
    }

    private void checkTimeouts() {
        memoryGuard.recordState();
        long nowNanos = System.nanoTime();
        List.copyOf(openConnections).forEach(connection -> connection.checkTimeouts(limits.get(), nowNanos));
    }
}

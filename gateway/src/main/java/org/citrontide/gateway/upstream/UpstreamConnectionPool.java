package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.ResponseMemory;
import org.citrontide.gateway.http.ProbedSocketChannel;
import org.citrontide.gateway.http.ResponseDecoder;
import org.citrontide.platform.PlatformHeaders;
import org.citrontide.runtime.eventloop.GuardedTask;

/**
 * A pool of connections to upstreams, which opens connections on demand, keeps them for as long as the upstream
 * announced, and reuses the most recently used one first.
 *
 * <p>Invariants: a connection is used only for the upstream that it was opened for, even if the upstream list later
 * assigns its address to another one; it is used again only if nothing has arrived on it since its last response; an
 * idle connection is closed once it can't be used again, because its upstream may have dropped it without notice. Not
 * thread-safe: owned by the event loop.
 */
public final class UpstreamConnectionPool {
    // Allows for several round trips between zones; a longer timeout only delays the selection of another upstream.
    private static final int CONNECT_TIMEOUT_MS = 400;
    private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);
    // One read a turn, so that an upstream with much to send leaves the other connections their turn.
    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 32 * 1024;
    // A response with two of them would be made of two responses.
    private static final List<String> SINGLE_FIELDS =
            List.of(PlatformHeaders.ATTEMPT_ID, PlatformHeaders.RESPONSE_STAMP);

    private final EventLoopGroup loop;
    private final AttemptListener listener;
    private final ResponseMemory responseMemory;
    private final ResponseFaults faults;
    private final SendMonitor sendMonitor;
    private final ChannelFactory<ProbedSocketChannel> channelFactory;
    private final Map<String, Deque<UpstreamConnection>> idleByKey = new HashMap<>();
    private final Map<Long, UpstreamAttempt> keptByNumber = new HashMap<>();
    private long openedCount;
    private boolean isExpiryCheckScheduled;

    /**
     * Creates an empty pool.
     *
     * @param loop event loop of all connections
     * @param listener receives the progress of the attempts
     * @param responseMemory limits the memory for incomplete responses
     * @param faults counts and logs bytes that belong to no response
     * @param sendMonitor records late and given up attempts
     */
    public UpstreamConnectionPool(
            EventLoopGroup loop,
            AttemptListener listener,
            ResponseMemory responseMemory,
            ResponseFaults faults,
            SendMonitor sendMonitor) {
        this(loop, listener, responseMemory, faults, sendMonitor, ProbedSocketChannel::new);
    }

    UpstreamConnectionPool(
            EventLoopGroup loop,
            AttemptListener listener,
            ResponseMemory responseMemory,
            ResponseFaults faults,
            SendMonitor sendMonitor,
            ChannelFactory<ProbedSocketChannel> channelFactory) {
        this.loop = loop;
        this.listener = listener;
        this.responseMemory = responseMemory;
        Map<Long, UpstreamAttempt> kept = keptByNumber;
        responseMemory.setRefusalListener(number -> drop(kept.get(number)));
        this.faults = faults;
        this.sendMonitor = sendMonitor;
        this.channelFactory = channelFactory;
    }

    /**
     * Sends an attempt on an idle connection if there is a usable one, or else on a new one.
     *
     * @param attempt the attempt to send
     */
    public void send(UpstreamAttempt attempt) {
        Optional<UpstreamConnection> idleConnection = pollIdle(attempt);
        if (idleConnection.isPresent()) {
            idleConnection.get().send(attempt);
            return;
        }
        connect(attempt);
    }

    /**
     * Cancels an attempt and closes its connection, which tells the upstream that the response is no longer needed.
     *
     * @param attempt the attempt to cancel
     */
    public void cancel(UpstreamAttempt attempt) {
        if (!attempt.isEnded()) {
            sendMonitor.recordGivenUp(attempt, System.nanoTime());
        }
        attempt.setEnded();
        releaseMemory(attempt);
        attempt.connection().ifPresent(UpstreamConnection::close);
    }

    /**
     * Gives up an attempt whose connection is still being established, and ends it as withdrawn. An attempt whose
     * request may have reached the upstream goes on.
     *
     * @param attempt the attempt to give up
     */
    public void withdraw(UpstreamAttempt attempt) {
        if (!attempt.isEnded() && !attempt.isSendStarted()) {
            cancel(attempt);
            listener.attemptEnded(attempt, new AttemptOutcome.Withdrawn());
        }
    }

    /**
     * Starts or stops reading the response to an attempt.
     *
     * @param attempt an attempt that has not ended
     * @param isReading whether the response is read
     */
    public void setReading(UpstreamAttempt attempt, boolean isReading) {
        attempt.connection().ifPresent(connection -> connection.setReading(isReading));
    }

    /**
     * Returns the number of connections opened since the start.
     *
     * @return number of connections
     */
    public long openedCount() {
        return openedCount;
    }

    SendMonitor sendMonitor() {
        return sendMonitor;
    }

    AttemptListener listener() {
        return listener;
    }

    ResponseFaults faults() {
        return faults;
    }

    /** Records memory for the response of an attempt, and drops the largest responses if there is too little. */
    void recordMemory(UpstreamAttempt attempt, int bytes) {
        keptByNumber.put(attempt.number(), attempt);
        for (long dropped : responseMemory.add(attempt.number(), bytes)) {
            drop(keptByNumber.get(dropped));
        }
    }

    private static void drop(UpstreamAttempt attempt) {
        attempt.connection().ifPresent(UpstreamConnection::dropResponse);
    }

    void releaseMemory(UpstreamAttempt attempt) {
        keptByNumber.remove(attempt.number());
        responseMemory.remove(attempt.number());
    }

    long keptBytes() {
        return responseMemory.usedBytes();
    }

    void addIdle(UpstreamConnection connection) {
        idleByKey.computeIfAbsent(connection.poolKey(), u -> new ArrayDeque<>()).addFirst(connection);
        scheduleExpiryCheck();
    }

    void remove(UpstreamConnection connection) {
        Deque<UpstreamConnection> idleConnections = idleByKey.get(connection.poolKey());
        if (idleConnections != null && idleConnections.remove(connection) && idleConnections.isEmpty()) {
            idleByKey.remove(connection.poolKey());
        }
    }

    private void scheduleExpiryCheck() {
        if (isExpiryCheckScheduled) {
            return;
        }
        isExpiryCheckScheduled = true;
        loop.schedule(
                new GuardedTask("upstream-connection-expiry", this::closeExpired),
                EXPIRY_CHECK_INTERVAL.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void closeExpired() {
        isExpiryCheckScheduled = false;
        long nowNanos = System.nanoTime();
        List<UpstreamConnection> expired = idleByKey.values().stream()
                .flatMap(Deque::stream)
                .filter(c -> !c.isUsable(false, nowNanos))
                .toList();
        for (UpstreamConnection c : expired) {
            remove(c);
            c.close();
        }
        idleByKey.values().removeIf(Deque::isEmpty);
        if (!idleByKey.isEmpty()) {
            scheduleExpiryCheck();
        }
    }

    private Optional<UpstreamConnection> pollIdle(UpstreamAttempt attempt) {
        Deque<UpstreamConnection> idleConnections =
                idleByKey.get(attempt.upstream().instanceKey());
        if (idleConnections == null) {
            return Optional.empty();
        }
        long now = System.nanoTime();
        for (Iterator<UpstreamConnection> iterator = idleConnections.iterator(); iterator.hasNext(); ) {
            UpstreamConnection connection = iterator.next();
            if (connection.isUsable(attempt.isAtMostOnce(), now)) {
                iterator.remove();
                if (connection.isQuiet()) {
                    return Optional.of(connection);
                }
            }
        }
        return Optional.empty();
    }

    private void connect(UpstreamAttempt attempt) {
        openedCount++;
        ResponseDecoder decoder = new ResponseDecoder(SINGLE_FIELDS);
        UpstreamConnection connection = new UpstreamConnection(this, decoder, attempt.upstream(), openedCount);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channelFactory(channelFactory)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(1))
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.AUTO_CLOSE, false)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                });
        ChannelFuture connecting =
                bootstrap.connect(attempt.upstream().host(), attempt.upstream().port());
        if (!(connecting.channel() instanceof ProbedSocketChannel channel)) {
            // No socket could be created; the listeners of such a future run on another thread.
            loop.execute(() -> endUnreached(attempt));
            return;
        }
        connection.setChannel(channel);
        attempt.setConnection(connection);
        connecting.addListener(future -> handleConnected(attempt, connection, future.isSuccess()));
    }

    private void handleConnected(UpstreamAttempt attempt, UpstreamConnection connection, boolean isConnected) {
        boolean isExpired = isConnected && attempt.remaining(System.nanoTime()).isNegative();
        if (attempt.isEnded() || isExpired) {
            // The request of an expired attempt is ended by the next tick.
            connection.close();
            return;
        }
        if (isConnected) {
            connection.send(attempt);
            return;
        }
        endUnreached(attempt);
    }

    private void endUnreached(UpstreamAttempt attempt) {
        if (!attempt.isEnded()) {
            attempt.setEnded();
            listener.attemptEnded(attempt, new AttemptOutcome.Unreached());
        }
    }
}

package org.citrontide.gateway.store;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.citrontide.platform.DecodeException;
import org.citrontide.platform.MetadataStore;
import org.citrontide.platform.PlatformCall;
import org.citrontide.runtime.log.EventLog;

/**
 * Sends the mirror's reads to the store and decides whether the store is available to this gateway.
 *
 * <p>Invariants: a read that got no answer says nothing of the store, because its connection may have fallen silent; it
 * is followed at once by a read on a new connection, and only if that fails is the store unavailable. Each read ends
 * with one call to its handler or to the listener. A handler gets only responses of the era that was known when the
 * read was sent: in another one, revisions mean something else. Not thread-safe: confined to the event loop.
 */
final class StoreReader {
    private static final EventLog LOG = EventLog.of(StoreReader.class);
    // Longer than the wait of a watch plus a slow response; a connection that is silent for this long is abandoned.
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1800);
    // Such a call only tells whether the store is available; a slow response takes a quarter of a second.
    private static final Duration PROBE_TIMEOUT = Duration.ofMillis(700);
    // The backoff grows to at most this many times its initial value, so that a long outage costs few calls.
    private static final int MAX_BACKOFF_FACTOR = 5;
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(150);
    private static final Duration MAX_JITTER = Duration.ofMillis(150);
    private static final int OK = 200;

    private final PlatformClient client;
    private final InetSocketAddress store;
    private final RandomGenerator random;
    private final Listener listener;
    private State state = State.AVAILABLE;
    private int consecutiveFailures;
    private long lastResponseNanos = System.nanoTime();
    private OptionalLong era = OptionalLong.empty();
    private boolean isReturnUnread;

    private enum State {
        AVAILABLE,
        /** The last read got no answer, and the next one tells why. */
        UNCERTAIN,
        UNAVAILABLE
    }

    /** Receives what happens to the reads besides their responses. */
    interface Listener {

        /** Called when a read got no answer. The next one is due at once. */
        void readUnanswered();

        /**
         * Called when the store is unavailable, after each read that failed.
         *
         * @param delay time after which the next read is due
         */
        void storeUnavailable(Duration delay);

        /** Called when the history after the revision of a watch is gone. The next read is due at once. */
        void historyGone();

        /**
         * Called when a response shows that the store has returned from an older copy of itself. What it served before
         * may be lost or replaced. The next read is due at once, and must be a full one.
         */
        void storeReturned();
    }

    /** Handles the body of a successful response. */
    @FunctionalInterface
    interface ResponseHandler {
        void handle(byte[] body) throws DecodeException;
    }

    StoreReader(PlatformClient client, InetSocketAddress store, RandomGenerator random, Listener listener) {
        this.client = client;
        this.store = store;
        this.random = random;
        this.listener = listener;
    }

    /** Returns whether the last read was answered, so that the store may hold back the response to the next one. */
    boolean isAvailable() {
        return state == State.AVAILABLE;
    }

    /** Returns the time since the last successful response. */
    Duration sinceLastResponse() {
        return Duration.ofNanos(System.nanoTime() - lastResponseNanos);
    }

    /** Returns the era of the store, 0 if it names none. */
    long era() {
        return era.orElse(0);
    }

    /** Sets the era that a peer has read. */
    void setEra(long newEra) {
        era = OptionalLong.of(newEra);
    }

    /** Sends a read whose response has a bounded size. */
    void read(PlatformCall call, ResponseHandler handler) {
        read(call, handler, this::handleUnavailable);
    }

    /** Sends a read; the handler for responses that exceed what a process may hold receives the reason. */
    void read(PlatformCall call, ResponseHandler handler, Consumer<String> tooLargeHandler) {
        CompletableFuture<PlatformResponse> pending = switch (state) {
            case AVAILABLE -> client.call(store, call, CALL_TIMEOUT);
            case UNCERTAIN -> client.callOnNewConnection(store, call, PROBE_TIMEOUT);
            case UNAVAILABLE -> client.call(store, call, PROBE_TIMEOUT);
        };
        pending.whenComplete((response, failure) -> {
            if (failure != null) {
                handleFailure(failure, tooLargeHandler);
                return;
            }
            handleResponse(response, handler);
        });
    }

    private void handleFailure(Throwable failure, Consumer<String> tooLargeHandler) {
        if (failure instanceof ResponseTooLargeException) {
            tooLargeHandler.accept(failure.getMessage());
            return;
        }
        if (failure instanceof UnansweredCallException && state == State.AVAILABLE) {
            state = State.UNCERTAIN;
            LOG.warn("store-read-unanswered").with("why", failure.getMessage()).write();
            listener.readUnanswered();
            return;
        }
        handleUnavailable(failure.getMessage());
    }

    private void handleResponse(PlatformResponse response, ResponseHandler handler) {
        response.storeEra().ifPresent(this::recordEra);
        boolean isServed = response.status() == OK || response.status() == MetadataStore.STATUS_COMPACTED;
        if (isReturnUnread && isServed) {
            isReturnUnread = false;
            handleAvailable();
            listener.storeReturned();
            return;
        }
        if (response.status() == MetadataStore.STATUS_COMPACTED) {
            state = state == State.UNCERTAIN ? State.AVAILABLE : state;
            listener.historyGone();
            return;
        }
        if (response.status() != OK) {
            handleUnavailable("status " + response.status());
            return;
        }
        try {
            handleAvailable();
            handler.handle(response.body());
        } catch (DecodeException e) {
            handleUnavailable(e.getMessage());
        } catch (RuntimeException | StackOverflowError e) {
            LOG.error("store-response-unhandled", e).write();
            handleUnavailable("unexpected failure");
        }
    }

    /**
     * Records the era that a response names. One that is lower than the known one counts as well: after an implausible
     * one, all others would be lower.
     */
    private void recordEra(long newEra) {
        if (era.isPresent() && era.getAsLong() != newEra) {
            isReturnUnread = true;
            LOG.warn("store-returned")
                    .with("era", newEra)
                    .with("previous-era", era.getAsLong())
                    .write();
        }
        era = OptionalLong.of(newEra);
    }

    private void handleUnavailable(String reason) {
        consecutiveFailures++;
        if (state != State.UNAVAILABLE) {
            state = State.UNAVAILABLE;
            LOG.warn("store-lost").with("why", reason).write();
        }
        Duration delay = INITIAL_BACKOFF.multipliedBy(Math.min(consecutiveFailures, MAX_BACKOFF_FACTOR));
        listener.storeUnavailable(delay.plus(Duration.ofNanos(random.nextLong(MAX_JITTER.toNanos()))));
    }

    private void handleAvailable() {
        consecutiveFailures = 0;
        if (state == State.UNAVAILABLE) {
            LOG.info("store-recovered")
                    .with("after-ms", sinceLastResponse().toMillis())
                    .write();
        }
        state = State.AVAILABLE;
        lastResponseNanos = System.nanoTime();
    }
}

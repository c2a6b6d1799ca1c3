package org.citrontide.core.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which requests wait at a gateway that has no configuration yet, and when the callers of all others should
 * retry.
 *
 * <p>Handles the restart of many gateways at once under full load: for one or two seconds every request of a third or
 * more of the callers arrives at a gateway that can't check it yet.
 *
 * <p>Invariants: the number of waiting requests and their memory are bounded; a request waits no longer than its caller
 * certainly does. Not thread-safe; the source of randomness is passed in.
 */
public final class StartupQueue {
    // Callers abandon a stream after 2 s without an event; the first one takes an upstream about 0.2 s.
    private static final Duration MAX_WAIT = Duration.ofMillis(1500);
    // After waiting for this fraction of its time, a request can still complete in the rest.
    private static final double MAX_WAIT_FRACTION = 0.35;
    // 206 requests per second at 17 gateways, in waves of 55% more, are 19 for each; this is three times what arrives
    // in 2 s.
    private static final int MAX_REQUESTS = 120;
    // Takes up at most an eighth of the heap of 64 MB, as the buffer of a body may be twice as large as its content.
    // One request of the largest size fits.
    private static final long MAX_BYTES = 4 * 1024 * 1024 + 64 * 1024;
    // When many gateways were restarted at once, they had read a configuration 2 s later.
    private static final Duration EXPECTED_READ = Duration.ofSeconds(2);
    // If the configuration is later than expected, callers retry after about this time.
    private static final Duration OVERDUE_DELAY = Duration.ofMillis(500);
    private static final Duration SPREAD = Duration.ofMillis(600);
    // Callers wait for at most a third of their remaining time.
    private static final double MAX_DELAY_FRACTION = 0.33;
    // Part of a shortened delay over which the retries are spread.
    private static final double SHORT_DELAY_SPREAD = 0.4;

    private record Waiting(long bytes, long endNanos) {}

    private final long startNanos;
    private final RandomGenerator random;
    private final Map<Long, Waiting> waiting = new LinkedHashMap<>();
    private long bytes;

    /**
     * Creates an empty queue.
     *
     * @param startNanos monotonic time in ns at which the gateway began to read the configuration
     * @param random source of randomness that spreads the retries
     */
    public StartupQueue(long startNanos, RandomGenerator random) {
        this.startNanos = startNanos;
        this.random = random;
    }

    /**
     * Adds a request if the bounds permit it.
     *
     * @param id number of the request
     * @param requestBytes memory that the request takes up in bytes
     * @param timeout time after which the caller needs no response
     * @param nowNanos monotonic time in ns
     * @return false if the request is to be refused
     */
    public boolean tryAdd(long id, long requestBytes, Duration timeout, long nowNanos) {
        if (waiting.size() >= MAX_REQUESTS || bytes + requestBytes > MAX_BYTES) {
            return false;
        }
        long maxWaitNanos = Math.min(MAX_WAIT.toNanos(), (long) (MAX_WAIT_FRACTION * timeout.toNanos()));
        bytes += requestBytes;
        waiting.put(id, new Waiting(requestBytes, nowNanos + maxWaitNanos));
        return true;
    }

    /**
     * Removes a request, whether or not it waits.
     *
     * @param id number of the request
     */
    public void remove(long id) {
        Waiting removed = waiting.remove(id);
        bytes -= removed == null ? 0 : removed.bytes();
    }

    /**
     * Removes and returns the requests that have waited for their maximum time.
     *
     * @param nowNanos monotonic time in ns
     * @return numbers of the requests in the order of their arrival
     */
    public List<Long> pollOverdue(long nowNanos) {
        List<Long> overdue = waiting.entrySet().stream()
                .filter(e -> nowNanos - e.getValue().endNanos() >= 0)
                .map(Map.Entry::getKey)
                .toList();
        overdue.forEach(this::remove);
        return overdue;
    }

    /**
     * Removes and returns all requests.
     *
     * @return numbers of the requests in the order of their arrival
     */
    public List<Long> pollAll() {
        List<Long> all = new ArrayList<>(waiting.keySet());
        waiting.clear();
        bytes = 0;
        return all;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the delay after which the caller of a refused request should retry: the time at which the configuration
     * is expected, spread so that the callers don't return together.
     *
     * @param remaining time after which the caller needs no response
     * @param nowNanos monotonic time in ns
     * @return delay from now
     */
    public Duration retryAfter(Duration remaining, long nowNanos) {
        long untilExpectedNanos = startNanos + EXPECTED_READ.toNanos() - nowNanos;
        double delay = Math.max(untilExpectedNanos, OVERDUE_DELAY.toNanos()) + SPREAD.toNanos() * random.nextDouble();
        double maxDelay = Math.max(0, remaining.toNanos()) * MAX_DELAY_FRACTION;
        double shortDelay = maxDelay * (1 - SHORT_DELAY_SPREAD * random.nextDouble());
        return Duration.ofNanos((long) (delay > maxDelay ? shortDelay : delay));
    }
}

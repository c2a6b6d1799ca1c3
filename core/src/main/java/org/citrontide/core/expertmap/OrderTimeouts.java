package org.citrontide.core.expertmap;

import java.time.Duration;

/**
 * Computes how long to wait for the response to an order, from the bytes of orders in flight and the rate of the link.
 *
 * <p>Handles rounds of orders to the ranks of a large group. An order to prepare a map names the experts of all ranks,
 * so that the size of a round grows with the square of the number of ranks. If the timeout ignored that, most orders of
 * a round would be sent again while their first copies are still waiting for the link.
 *
 * <p>Invariant: the timeout of an order covers the transmission of all orders started before it and not ended. Not
 * thread-safe.
 */
public final class OrderTimeouts {
    // Covers several round trips between zones.
    private static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(70);
    private static final double BITS_PER_MEGABIT = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final double nanosPerByte;
    private long bytesInFlight;

    /**
     * Creates an instance without orders in flight.
     *
     * @param linkMegabitsPerSecond rate of the link over which the orders are sent, in Mbit/s
     */
    public OrderTimeouts(double linkMegabitsPerSecond) {
        this.nanosPerByte = Byte.SIZE * NANOS_PER_SECOND / (linkMegabitsPerSecond * BITS_PER_MEGABIT);
    }

    /**
     * Records that an order is being sent.
     *
     * @param bytes size of the order
     * @return time to wait for the response
     */
    public Duration start(int bytes) {
        bytesInFlight += bytes;
        return RESPONSE_TIMEOUT.plusNanos((long) (bytesInFlight * nanosPerByte));
    }

    /**
     * Records that an order was answered or has timed out.
     *
     * @param bytes size of the order
     */
    public void end(int bytes) {
        bytesInFlight -= bytes;
    }
}

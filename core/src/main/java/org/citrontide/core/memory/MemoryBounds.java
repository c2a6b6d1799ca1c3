package org.citrontide.core.memory;

import java.util.EnumMap;
import java.util.Map;

/**
 * The bounds of a {@link MemoryLedger}. Immutable.
 *
 * @param totalBytes maximum of all holders together
 * @param shares maximum of each holder; they may add up to more than the total
 * @param accountBytes maximum of one connection of a caller
 * @param smallBytes maximum of an account that counts as small
 * @param reserveBytes part of the total that only small accounts may use
 */
public record MemoryBounds(
        long totalBytes, Map<MemoryHolder, Long> shares, long accountBytes, long smallBytes, long reserveBytes) {
    // Twice the memory of a request with a head of a few KB and a prompt of 2,900 tokens, the largest usual one.
    private static final long SMALL_BYTES = 64 * 1024;
    // Leaves seven eighths to large requests, and 5 MB to small ones at a heap of 64 MB, 1,000 requests of 5 KB.
    private static final int RESERVE_DIVISOR = 8;
    // One connection leaves a quarter of the memory for callers to others.
    private static final int ACCOUNT_DIVISOR = 4;

    /** Checks the bounds, and copies the shares so that the record is immutable. */
    public MemoryBounds {
        EnumMap<MemoryHolder, Long> copy = new EnumMap<>(shares);
        for (MemoryHolder h : MemoryHolder.values()) {
            if (copy.getOrDefault(h, 0L) <= 0) {
                throw new IllegalArgumentException("no share for " + h.key());
            }
        }
        if (reserveBytes < 0 || reserveBytes >= totalBytes) {
            throw new IllegalArgumentException("the reserve must be below the total");
        }
        shares = Map.copyOf(copy);
    }

    /**
     * Derives the bounds of a gateway from the memory for callers, responses and output.
     *
     * @param callerBytes memory for requests: share of the bodies, and of the complete requests
     * @param responseBytes memory for responses
     * @param outputBytes memory for output that callers have not read
     * @return the bounds, whose total is the sum of the three
     */
    public static MemoryBounds of(long callerBytes, long responseBytes, long outputBytes) {
        long total = callerBytes + responseBytes + outputBytes;
        Map<MemoryHolder, Long> shares = new EnumMap<>(MemoryHolder.class);
        // Heads arrive within seconds; half of the memory leaves the bodies room beside them.
        shares.put(MemoryHolder.CALLER_HEADS, Math.max(1, callerBytes / 2));
        shares.put(MemoryHolder.CALLER_BODIES, callerBytes);
        shares.put(MemoryHolder.WAITING_REQUESTS, callerBytes);
        shares.put(MemoryHolder.RESPONSES, responseBytes);
        shares.put(MemoryHolder.UNREAD_OUTPUT, outputBytes);
        long account = callerBytes / ACCOUNT_DIVISOR * (ACCOUNT_DIVISOR - 1);
        return new MemoryBounds(total, shares, account, SMALL_BYTES, total / RESERVE_DIVISOR);
    }

    /**
     * Returns the maximum of a holder.
     *
     * @param holder the holder
     * @return its share in bytes
     */
    public long share(MemoryHolder holder) {
        return shares.get(holder);
    }
}

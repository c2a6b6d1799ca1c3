package org.citrontide.core.memory;

/**
 * The memory of one connection or one response, by holder. Changed only by its {@link MemoryLedger}; not thread-safe.
 */
public final class MemoryAccount {
    private final MemoryOwner owner;
    private final long maxBytes;
    private final long[] bytes = new long[MemoryHolder.values().length];
    private long totalBytes;
    private long refusableBytes;
    private long sinceNanos;
    private long closedBytes;
    private boolean isClosed;

    MemoryAccount(MemoryOwner owner, long maxBytes) {
        this.owner = owner;
        this.maxBytes = maxBytes;
    }

    /**
     * Returns who frees the memory when the account is refused.
     *
     * @return the owner
     */
    public MemoryOwner owner() {
        return owner;
    }

    /**
     * Returns the memory of a holder.
     *
     * @param holder the holder
     * @return number of bytes
     */
    public long bytes(MemoryHolder holder) {
        return bytes[holder.ordinal()];
    }

    /**
     * Returns the memory of all holders.
     *
     * @return number of bytes
     */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * Returns the memory that the account held when it was closed or refused.
     *
     * @return number of bytes, 0 if it is open
     */
    public long closedBytes() {
        return closedBytes;
    }

    /**
     * Returns whether the account has been closed or refused.
     *
     * @return true if nothing is counted for it any more
     */
    public boolean isClosed() {
        return isClosed;
    }

    long maxBytes() {
        return maxBytes;
    }

    long refusableBytes() {
        return refusableBytes;
    }

    void change(MemoryHolder holder, long change, long nowNanos) {
        if (holder.isRefusable()) {
            if (refusableBytes == 0) {
                sinceNanos = nowNanos;
            }
            refusableBytes += change;
        }
        bytes[holder.ordinal()] += change;
        totalBytes += change;
    }

    void setClosed(long bytes) {
        closedBytes = bytes;
        isClosed = true;
    }

    /** Returns how much sooner than others the account is refused: its refusable memory times the age of it. */
    double weight(long nowNanos, long minAgeNanos) {
        return (double) refusableBytes * Math.max(minAgeNanos, nowNanos - sinceNanos);
    }
}

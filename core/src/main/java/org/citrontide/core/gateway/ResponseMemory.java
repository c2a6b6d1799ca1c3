package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the memory for the incomplete responses of all attempts of a gateway.
 *
 * <p>Handles upstreams that send without end: when the limit is passed, the largest responses are dropped, so that the
 * usual small ones of other upstreams go on.
 *
 * <p>Invariant: after each call the responses that are not dropped fit within the limit. Not thread-safe: confined to
 * one thread.
 */
public final class ResponseMemory {
    private final long limitBytes;
    private final Map<Long, Long> bytesByAttempt = new HashMap<>();
    private long usedBytes;

    /**
     * Creates an empty account.
     *
     * @param limitBytes maximum memory of all responses in bytes
     */
    public ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Records memory that the response of an attempt takes up.
     *
     * @param attempt number of the attempt
     * @param bytes additional bytes, 0 or more
     * @return the attempts whose responses must be dropped, largest first, usually none; they are no longer counted
     */
    public List<Long> add(long attempt, int bytes) {
        bytesByAttempt.merge(attempt, (long) bytes, Long::sum);
        usedBytes += bytes;
        List<Long> dropped = new ArrayList<>();
        while (usedBytes > limitBytes) {
            long largest = bytesByAttempt.entrySet().stream()
                    .max(Map.Entry.<Long, Long>comparingByValue()
                            .thenComparing(Comparator.comparing(Map.Entry::getKey)))
                    .orElseThrow()
                    .getKey();
            remove(largest);
            dropped.add(largest);
        }
        return dropped;
    }

    /**
     * Releases the memory of a response.
     *
     * @param attempt number of the attempt, which may be unknown
     */
    public void remove(long attempt) {
        Long bytes = bytesByAttempt.remove(attempt);
        usedBytes -= bytes == null ? 0 : bytes;
    }

    /**
     * Returns the memory of all responses.
     *
     * @return number of bytes, at most the limit
     */
    public long usedBytes() {
        return usedBytes;
    }
}

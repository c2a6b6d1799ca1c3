package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;

import org.citrontide.core.memory.MemoryAccount;
import org.citrontide.core.memory.MemoryHolder;
import org.citrontide.core.memory.MemoryLedger;

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
    private final Optional<MemoryLedger> ledger;
    private final LongSupplier clock;
    private final Map<Long, Long> bytesByAttempt = new HashMap<>();
    private final Map<Long, MemoryAccount> accounts = new HashMap<>();
    private LongConsumer refusalListener = attempt -> {};
    private long usedBytes;

    /**
     * Creates an empty account.
     *
     * @param limitBytes maximum memory of all responses in bytes
     */
    public ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
        this.ledger = Optional.empty();
        this.clock = () -> 0;
    }

    /**
     * Creates an empty account that also counts in a ledger.
     *
     * @param limitBytes maximum memory of all responses in bytes
     * @param ledger counts the memory of all holders
     * @param clock supplies the monotonic time in ns
     */
    public ResponseMemory(long limitBytes, MemoryLedger ledger, LongSupplier clock) {
        this.limitBytes = limitBytes;
        this.ledger = Optional.of(ledger);
        this.clock = clock;
    }

    /**
     * Sets what drops a response that the ledger refuses, at any time.
     *
     * @param listener takes the number of the attempt, whose memory is no longer counted
     */
    public void setRefusalListener(LongConsumer listener) {
        refusalListener = listener;
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
        if (ledger.isPresent() && bytesByAttempt.containsKey(attempt)) {
            addToLedger(ledger.get(), attempt, bytes);
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
        MemoryAccount account = accounts.remove(attempt);
        if (account != null) {
            ledger.orElseThrow().close(account);
        }
    }

    /**
     * Returns the memory of all responses.
     *
     * @return number of bytes, at most the limit
     */
    public long usedBytes() {
        return usedBytes;
    }

    private void addToLedger(MemoryLedger memoryLedger, long attempt, int bytes) {
        MemoryAccount account =
                accounts.computeIfAbsent(attempt, n -> memoryLedger.open(bound -> handleRefusal(n), limitBytes));
        memoryLedger
                .add(account, MemoryHolder.RESPONSES, bytes, clock.getAsLong())
                .forEach(r -> r.account().owner().memoryRefused(r.bound()));
    }

    private void handleRefusal(long attempt) {
        remove(attempt);
        refusalListener.accept(attempt);
    }
}

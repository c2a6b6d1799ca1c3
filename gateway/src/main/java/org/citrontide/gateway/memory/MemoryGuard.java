package org.citrontide.gateway.memory;

import java.util.List;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.core.memory.MemoryAccount;
import org.citrontide.core.memory.MemoryHolder;
import org.citrontide.core.memory.MemoryLedger;
import org.citrontide.core.memory.MemoryOwner;
import org.citrontide.core.memory.MemoryRefusal;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Applies the decisions of the {@link MemoryLedger}: tells the owners of refused accounts, and counts and logs them.
 *
 * <p>Not thread-safe: owned by the event loop.
 */
public final class MemoryGuard {
    private static final EventLog LOG = EventLog.of(MemoryGuard.class);
    // A fifth of the lines on requests, so that a crowd of callers does not suppress those on others.
    private static final int LINES_PER_SECOND = 20;

    private final MemoryLedger ledger;
    private final Gauge bytesGauge;
    private final Counter callerRefusals;
    private final LogRateLimiter limiter = new LogRateLimiter(LINES_PER_SECOND);

    /**
     * Registers the metrics.
     *
     * @param ledger counts the memory
     * @param registry registry for the metrics
     */
    public MemoryGuard(MemoryLedger ledger, PrometheusRegistry registry) {
        this.ledger = ledger;
        bytesGauge = Gauge.builder()
                .name("citrontide_gateway_memory_bytes")
                .help("Memory for requests and responses in bytes")
                .labelNames("holder")
                .register(registry);
        callerRefusals = Counter.builder()
                .name("citrontide_gateway_callers_refused")
                .help("Callers that were refused or closed because of a bound on memory or time")
                .labelNames("reason", "how")
                .register(registry);
    }

    /**
     * Opens the account of a caller's connection.
     *
     * @param owner frees the memory when the account is refused
     * @return an empty account
     */
    public MemoryAccount open(MemoryOwner owner) {
        return ledger.open(owner);
    }

    /**
     * Counts additional memory, and refuses accounts if a bound is met, possibly this one.
     *
     * @param account account that takes the memory
     * @param holder what holds it
     * @param bytes number of bytes, 0 or more
     */
    public void add(MemoryAccount account, MemoryHolder holder, long bytes) {
        refuse(ledger.add(account, holder, bytes, System.nanoTime()));
    }

    /**
     * Stops to count memory.
     *
     * @param account account that frees the memory
     * @param holder what held it
     * @param bytes number of bytes, at most as many as are counted
     */
    public void remove(MemoryAccount account, MemoryHolder holder, long bytes) {
        ledger.remove(account, holder, bytes);
    }

    /**
     * Closes an account.
     *
     * @param account the account, which may be closed already
     */
    public void close(MemoryAccount account) {
        ledger.close(account);
    }

    /**
     * Returns whether an account should take no more memory for now.
     *
     * @param account the account
     * @return false if the account may grow
     */
    public boolean isUnderPressure(MemoryAccount account) {
        return ledger.isUnderPressure(account);
    }

    /** Refuses the heaviest account if a bound is still near. */
    public void relieve() {
        ledger.relieve(System.nanoTime()).ifPresent(r -> refuse(List.of(r)));
    }

    /**
     * Counts and logs a caller that is refused or closed because of a bound.
     *
     * @param reason the bound, as a short key in lower case
     * @param isAnswered whether the caller gets a response before its connection is closed
     * @param peer address of the caller
     * @param bytes memory that its connection held
     */
    public void recordRefusedCaller(String reason, boolean isAnswered, Object peer, long bytes) {
        String how = isAnswered ? "answered" : "closed";
        callerRefusals.labelValues(reason, how).inc();
        if (limiter.tryAcquire(System.nanoTime())) {
            LOG.warn("caller-refused")
                    .with("reason", reason)
                    .with("how", how)
                    .with("peer", peer)
                    .with("bytes", bytes)
                    .with("all-bytes", ledger.usedBytes())
                    .with("lines-suppressed", limiter.getAndResetSuppressed())
                    .write();
        }
    }

    /** Updates the gauges. */
    public void recordState() {
        for (MemoryHolder h : MemoryHolder.values()) {
            bytesGauge.labelValues(h.key()).set(ledger.usedBytes(h));
        }
    }

    private static void refuse(List<MemoryRefusal> refusals) {
        refusals.forEach(r -> r.account().owner().memoryRefused(r.bound()));
    }
}

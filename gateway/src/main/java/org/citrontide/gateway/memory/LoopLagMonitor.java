package org.citrontide.gateway.memory;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.citrontide.runtime.eventloop.GuardedTask;
import org.citrontide.runtime.log.EventLog;
import org.citrontide.runtime.log.LogRateLimiter;

/**
 * Measures how late the event loop runs a task that is due, which is how long any caller waits for its turn.
 *
 * <p>Invariant: each measurement begins when the last one has ended, so that one long turn is counted once. Not
 * thread-safe: owned by the event loop.
 */
public final class LoopLagMonitor {
    private static final EventLog LOG = EventLog.of(LoopLagMonitor.class);
    private static final double[] BUCKET_BOUNDS_SECONDS = {0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};
    private static final double NANOS_PER_SECOND = 1e9;
    // Each measurement wakes the event loop, which costs processor time; a longer lag than this is always noticed.
    private static final Duration INTERVAL = Duration.ofMillis(250);
    private static final int LINES_PER_SECOND = 1;

    private final EventLoop loop;
    private final Duration logBound;
    private final Histogram lagSeconds;
    private final LogRateLimiter limiter = new LogRateLimiter(LINES_PER_SECOND);
    private final Runnable measurement = new GuardedTask("loop-lag", this::measure);
    private long dueNanos;

    /**
     * Registers the metric.
     *
     * @param loop event loop to measure
     * @param logBound lag from which on a line is logged
     * @param registry registry for the metric
     */
    public LoopLagMonitor(EventLoop loop, Duration logBound, PrometheusRegistry registry) {
        this.loop = loop;
        this.logBound = logBound;
        lagSeconds = Histogram.builder()
                .name("citrontide_gateway_loop_lag_seconds")
                .help("Delay of a due task of the event loop")
                .classicOnly()
                .classicUpperBounds(BUCKET_BOUNDS_SECONDS)
                .register(registry);
    }

    /** Starts to measure. Called on the event loop. */
    public void start() {
        dueNanos = System.nanoTime() + INTERVAL.toNanos();
        loop.schedule(measurement, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void measure() {
        long now = System.nanoTime();
        long lagNanos = Math.max(0, now - dueNanos);
        lagSeconds.observe(lagNanos / NANOS_PER_SECOND);
        if (lagNanos >= logBound.toNanos() && limiter.tryAcquire(now)) {
            LOG.warn("loop-lag")
                    .with("lag-ms", Duration.ofNanos(lagNanos).toMillis())
                    .with("lines-suppressed", limiter.getAndResetSuppressed())
                    .write();
        }
        start();
    }
}

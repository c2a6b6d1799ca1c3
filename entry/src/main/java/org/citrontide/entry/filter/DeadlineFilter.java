package org.citrontide.entry.filter;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/**
 * Sets the deadline: the service's time-out, or the caller's if that is shorter. Stateless and safe for use by many
 * threads.
 */
public final class DeadlineFilter implements RequestFilter {
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public Optional<Refusal> apply(RequestContext c) {
        long timeout = c.service.orElseThrow().limits().timeout().toNanos();
        c.deadlineNanos = c.arrivedNanos + timeout;
        if (c.headers.requestTimeout().isEmpty()) {
            return Optional.empty();
        }
        Optional<Double> seconds = parse(c.headers.requestTimeout().get());
        if (seconds.isEmpty()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "Request-Timeout must be a positive number of seconds"));
        }
        c.deadlineNanos = c.arrivedNanos + (long) Math.min(timeout, seconds.get() * NANOS_PER_SECOND);
        return Optional.empty();
    }

    private static Optional<Double> parse(String text) {
        try {
            return Optional.of(Double.parseDouble(text)).filter(s -> s > 0 && !s.isInfinite());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}

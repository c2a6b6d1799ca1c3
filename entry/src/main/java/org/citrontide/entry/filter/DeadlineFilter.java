package org.citrontide.entry.filter;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/**
 * Sets the deadline from the shorter of the service's timeout and the caller's. Stateless and thread-safe.
 */
public final class DeadlineFilter implements RequestFilter {
    private static final double NANOS_PER_SECOND = 1e9;

    @Override
    public Optional<Refusal> apply(RequestContext context) {
        long timeout = context.service.orElseThrow().limits().timeout().toNanos();
        context.deadlineNanos = context.arrivedNanos + timeout;
        if (context.headers.requestTimeout().isEmpty()) {
            return Optional.empty();
        }
        Optional<Double> seconds = parseSeconds(context.headers.requestTimeout().get());
        if (seconds.isEmpty()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "Request-Timeout must be a positive number of seconds"));
        }
        context.deadlineNanos = context.arrivedNanos + (long) Math.min(timeout, seconds.get() * NANOS_PER_SECOND);
        return Optional.empty();
    }

    private static Optional<Double> parseSeconds(String text) {
        try {
            return Optional.of(Double.parseDouble(text)).filter(s -> s > 0 && !s.isInfinite());
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }
}

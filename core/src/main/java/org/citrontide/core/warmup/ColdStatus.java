package org.citrontide.core.warmup;

import java.time.Duration;

/**
 * What is known about whether an upstream is cold. Immutable.
 *
 * @param source where it is known from
 * @param observedNanos monotonic time in ns at which it was observed
 * @param remaining time from the observation for which the upstream stays cold, 0 if it is warm
 */
public record ColdStatus(Source source, long observedNanos, Duration remaining) {
    /**
     * Largest age of the statement in an entry when it is received: upstreams write their entries about every 1,200 ms,
     * and changes are read up to 1,200 ms apart.
     */
    static final Duration MAX_ENTRY_AGE = Duration.ofMillis(2400);

    /** Where a cold status is known from. */
    public enum Source {
        /** The upstream's entry in the store. */
        ENTRY,
        /** The head of a response of the upstream. */
        RESPONSE,
        /** The time of the upstream's start. */
        AGE,
        /** The upstream appeared in the list. */
        APPEARANCE,
        /** The upstream's zone was put back into service. */
        ZONE
    }

    /** Returns the time in ns until which the upstream is cold, if its service's upstreams are cold for a time. */
    long untilNanos(Duration coldTime) {
        return observedNanos + Math.min(remaining.toNanos(), coldTime.toNanos());
    }

    /** Returns the status after a later observation; an entry that may be older than this status can't shorten it. */
    ColdStatus updatedBy(ColdStatus next, Duration coldTime) {
        boolean mayBeOlder = next.source == Source.ENTRY
                && source != Source.ENTRY
                && next.observedNanos - observedNanos < MAX_ENTRY_AGE.toNanos();
        return mayBeOlder && next.untilNanos(coldTime) < untilNanos(coldTime) ? this : next;
    }
}

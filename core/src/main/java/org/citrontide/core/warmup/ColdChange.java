package org.citrontide.core.warmup;

import java.time.Duration;

import org.citrontide.core.routes.ListedUpstream;

/**
 * An upstream became cold, began to warm up, or became warm. Immutable.
 *
 * @param upstream the upstream
 * @param phase its phase
 * @param source where its status is known from
 * @param age age of the observation
 * @param remaining time for which it stays cold from now, not negative
 * @param coldUpstreams number of upstreams of its service that are cold
 */
public record ColdChange(
        ListedUpstream upstream,
        Phase phase,
        ColdStatus.Source source,
        Duration age,
        Duration remaining,
        int coldUpstreams) {

    /** Phases of an upstream. */
    public enum Phase {
        /** The upstream gets the rate of a cold one. */
        COLD,
        /** The upstream was cold until shortly before, and its rate grows. */
        WARMING,
        /** The upstream has no limit. */
        WARM
    }
}

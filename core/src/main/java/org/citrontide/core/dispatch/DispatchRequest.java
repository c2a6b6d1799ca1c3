package org.citrontide.core.dispatch;

import java.util.Optional;

import org.citrontide.core.publication.Urgency;

/**
 * What the dispatcher needs to know of a caller's request. Immutable.
 *
 * @param id number of the request, never used twice in a process
 * @param service name of the service
 * @param team name of the team
 * @param urgency its class
 * @param cost estimated cost in tokens
 * @param repeatable whether running it twice does no harm
 * @param bucket bucket of its idempotency key, if it has a key and must not be repeated
 * @param deadlineNanos monotonic deadline in ns
 */
public record DispatchRequest(
        long id,
        String service,
        String team,
        Urgency urgency,
        int cost,
        boolean repeatable,
        Optional<Integer> bucket,
        long deadlineNanos) {}

package org.citrontide.core.dispatch;

import java.util.Optional;

import org.citrontide.core.publication.Urgency;

/**
 * The properties of a caller's request that the dispatcher needs. Immutable.
 *
 * @param id number of the request, unique within the process
 * @param service name of the requested service
 * @param team name of the caller's team
 * @param urgency urgency class of the request
 * @param cost estimated cost in tokens
 * @param isRepeatable whether the request may safely run more than once
 * @param bucket claim bucket of its idempotency key, present if it has a key and is not repeatable
 * @param deadlineNanos monotonic deadline in ns
 */
public record DispatchRequest(
        long id,
        String service,
        String team,
        Urgency urgency,
        int cost,
        boolean isRepeatable,
        Optional<Integer> bucket,
        long deadlineNanos) {}

package org.citrontide.entry.filter;

import java.util.Optional;

/**
 * The headers of a request that the filters read; absent ones are empty. Immutable.
 *
 * @param authorization {@code Authorization}
 * @param contentType {@code Content-Type}
 * @param idempotencyKey {@code Idempotency-Key}
 * @param requestTimeout {@code Request-Timeout}, in seconds
 * @param urgency {@code Urgency}
 */
public record CallerHeaders(
        Optional<String> authorization,
        Optional<String> contentType,
        Optional<String> idempotencyKey,
        Optional<String> requestTimeout,
        Optional<String> urgency) {}

package org.citrontide.entry.filter;

import java.util.Optional;
import java.util.regex.Pattern;

import org.citrontide.core.verdict.Reason;

/** Validates the idempotency key. Stateless and thread-safe. */
public final class IdempotencyKeyFilter implements RequestFilter {
    private static final Pattern KEY_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,128}");

    @Override
    public Optional<Refusal> apply(RequestContext context) {
        if (context.headers
                .idempotencyKey()
                .filter(k -> !KEY_PATTERN.matcher(k).matches())
                .isPresent()) {
            return Optional.of(Refusal.of(
                    Reason.BAD_REQUEST, "Idempotency-Key must be 1 to 128 printable ASCII characters without blanks"));
        }
        context.idempotencyKey = context.headers.idempotencyKey();
        return Optional.empty();
    }
}

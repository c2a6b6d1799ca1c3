package org.citrontide.entry.filter;

import java.util.Optional;
import java.util.regex.Pattern;

import org.citrontide.core.verdict.Reason;

/** Checks the idempotency key. Stateless and safe for use by many threads. */
public final class IdempotencyFilter implements RequestFilter {
    private static final Pattern KEY = Pattern.compile("[\\x21-\\x7e]{1,128}");

    @Override
    public Optional<Refusal> apply(RequestContext c) {
        if (c.headers.idempotencyKey().filter(k -> !KEY.matcher(k).matches()).isPresent()) {
            return Optional.of(Refusal.of(
                    Reason.BAD_REQUEST, "Idempotency-Key must be 1 to 128 printable ASCII characters without blanks"));
        }
        c.idempotencyKey = c.headers.idempotencyKey();
        return Optional.empty();
    }
}

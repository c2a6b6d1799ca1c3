package org.citrontide.gateway.filter;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/** Refuses requests without exactly one Host header, and those whose target is not a path. */
final class HostFilter implements GatewayFilter {
    @Override
    public Optional<Reason> check(RequestHead head) {
        boolean isValid = head.host().isPresent() && head.target().startsWith("/");
        return isValid ? Optional.empty() : Optional.of(Reason.BAD_REQUEST);
    }
}

package org.citrontide.gateway.filter;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/** Refuses requests without exactly one host, or whose target is no path. */
final class HostFilter implements GatewayFilter {
    @Override
    public Optional<Reason> check(RequestHead head) {
        boolean isProper = head.host().isPresent() && head.target().startsWith("/");
        return isProper ? Optional.empty() : Optional.of(Reason.BAD_REQUEST);
    }
}

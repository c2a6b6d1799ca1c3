package org.citrontide.gateway.filter;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.citrontide.core.verdict.Reason;

/** Finds the team by the caller's key, and refuses callers without one on routes that aren't public. */
final class KeyFilter implements GatewayFilter {
    private static final String SCHEME = "Bearer ";

    @Override
    public Optional<Reason> check(RequestHead head) {
        if (!head.table().needsKeys()) {
            return Optional.empty();
        }
        head.setTeam(head.header(HttpHeaderNames.AUTHORIZATION)
                .filter(a -> a.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .flatMap(a -> head.table().team(a.substring(SCHEME.length()).trim())));
        boolean isAllowed = head.team().isPresent() || head.route().isPublic();
        return isAllowed ? Optional.empty() : Optional.of(Reason.UNAUTHENTICATED);
    }
}

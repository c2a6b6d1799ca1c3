package org.citrontide.gateway.filter;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.citrontide.core.verdict.Reason;

/** Looks up the team by the API key, and refuses requests without a valid key on routes that aren't public. */
final class ApiKeyFilter implements GatewayFilter {
    private static final String SCHEME = "Bearer ";

    @Override
    public Optional<Reason> check(RequestHead head) {
        if (!head.table().needsKeys()) {
            return Optional.empty();
        }
        head.setTeam(head.header(HttpHeaderNames.AUTHORIZATION)
                .filter(value -> value.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .flatMap(value ->
                        head.table().team(value.substring(SCHEME.length()).trim())));
        boolean isAllowed = head.team().isPresent() || head.route().isPublic();
        return isAllowed ? Optional.empty() : Optional.of(Reason.UNAUTHENTICATED);
    }
}

package org.citrontide.entry.filter;

import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.citrontide.core.verdict.Reason;

/** Authenticates the request: determines the team from the bearer token. Stateless and thread-safe. */
public final class AuthenticationFilter implements RequestFilter {
    private static final String BEARER_PREFIX = "Bearer ";

    @Override
    public Optional<Refusal> apply(RequestContext context) {
        Optional<String> token = context.headers
                .authorization()
                .filter(a -> a.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length()))
                .map(a -> a.substring(BEARER_PREFIX.length()).trim());
        if (token.isEmpty()) {
            return Optional.of(Refusal.of(Reason.UNAUTHENTICATED, "send Authorization: Bearer with the team's token"));
        }
        String team = context.configuration.teamsByTokenHash().get(DigestUtils.sha256Hex(token.get()));
        if (team == null) {
            return Optional.of(Refusal.of(Reason.UNAUTHENTICATED, "the token does not belong to any team"));
        }
        context.team = team;
        return Optional.empty();
    }
}

package org.citrontide.entry.filter;

import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.citrontide.core.verdict.Reason;

/** Finds the team by the bearer token. Stateless and safe for use by many threads. */
public final class AuthenticationFilter implements RequestFilter {
    private static final String SCHEME = "Bearer ";

    @Override
    public Optional<Refusal> apply(RequestContext c) {
        Optional<String> token = c.headers
                .authorization()
                .filter(a -> a.regionMatches(true, 0, SCHEME, 0, SCHEME.length()))
                .map(a -> a.substring(SCHEME.length()).trim());
        if (token.isEmpty()) {
            return Optional.of(Refusal.of(Reason.UNAUTHENTICATED, "send Authorization: Bearer with the team's token"));
        }
        String team = c.configuration.teamsByTokenHash().get(DigestUtils.sha256Hex(token.get()));
        if (team == null) {
            return Optional.of(Refusal.of(Reason.UNAUTHENTICATED, "the token names no team"));
        }
        c.team = team;
        return Optional.empty();
    }
}

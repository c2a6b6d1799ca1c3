package org.citrontide.gateway.filter;

import java.util.Optional;

import org.citrontide.core.verdict.Reason;

/**
 * Refuses requests before the first configuration is in force, since valid routes and keys can't yet be distinguished
 * from unknown ones.
 */
final class ConfigurationFilter implements GatewayFilter {
    @Override
    public Optional<Reason> check(RequestHead head) {
        return head.table().version() == 0 ? Optional.of(Reason.NOT_READY) : Optional.empty();
    }
}

package org.citrontide.core.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;

import org.citrontide.core.capacity.LateRequestLimit;

/** What a dispatcher keeps for each service that got a request. Not thread-safe. */
final class ServiceStates {
    private final Supplier<GatewayRetryBudget> retryBudgetFactory;
    private final LateRequestLimit lateRequestLimit;
    private final ToIntFunction<String> inFlight;
    private final Map<String, ServiceState> byName = new HashMap<>();

    ServiceStates(
            Supplier<GatewayRetryBudget> retryBudgetFactory,
            LateRequestLimit lateRequestLimit,
            ToIntFunction<String> inFlight) {
        this.inFlight = inFlight;
        this.retryBudgetFactory = retryBudgetFactory;
        this.lateRequestLimit = lateRequestLimit;
    }

    ServiceState of(String name) {
        return byName.computeIfAbsent(
                name,
                s -> new ServiceState(
                        retryBudgetFactory.get(), now -> lateRequestLimit.limit(s, inFlight.applyAsInt(s), now)));
    }

    ServiceState of(OpenGatewayRequest open) {
        return of(open.request.service());
    }

    Collection<ServiceState> all() {
        return byName.values();
    }

    Map<String, RetryBudgetState> retryBudgets(long nowNanos) {
        Map<String, RetryBudgetState> states = new HashMap<>();
        byName.forEach((name, s) -> states.put(name, s.retryBudget.state(nowNanos)));
        return states;
    }
}

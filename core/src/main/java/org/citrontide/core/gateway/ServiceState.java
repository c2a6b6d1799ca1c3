package org.citrontide.core.gateway;

/** What a dispatcher keeps for one service. Not thread-safe. */
final class ServiceState {
    final GatewayRetryBudget retryBudget;
    final AdmissionQueue queue = new AdmissionQueue();
    final StallDetector stallDetector = new StallDetector();

    ServiceState(GatewayRetryBudget retryBudget) {
        this.retryBudget = retryBudget;
    }
}

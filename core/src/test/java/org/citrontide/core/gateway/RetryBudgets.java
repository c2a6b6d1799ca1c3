package org.citrontide.core.gateway;

import java.time.Duration;

/** Creates retry budgets of processes that have run for a window and know the number of gateways. */
final class RetryBudgets {
    static final Duration WINDOW = Duration.ofSeconds(10);

    private RetryBudgets() {}

    /** Creates a budget with a twelfth of the slack, which allows retries from time 0 on. */
    static GatewayRetryBudget createInService(double ratio, double slack) {
        RetrySlackShare share = new RetrySlackShare(slack);
        share.setGatewayCount(1);
        return new GatewayRetryBudget(ratio, WINDOW, share, -WINDOW.toNanos());
    }
}

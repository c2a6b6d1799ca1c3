package org.citrontide.core.gateway;

/**
 * What a gateway's retry budget for a service allows and what of it is spent. Immutable.
 *
 * @param requests requests that the ratio applies to
 * @param ratioPart retries per window that the requests allow
 * @param slackPart retries per window that this gateway's share of the slack allows
 * @param limit retries per window, less than both parts by a reserve, and 0 in the first window of a process
 * @param spent retries of the window, including one that was just allowed
 * @param gateways number of gateways that the slack is divided by, 0 while it is unknown
 */
public record RetryBudgetState(
        long requests, double ratioPart, double slackPart, double limit, int spent, int gateways) {}

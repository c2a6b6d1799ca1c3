package org.citrontide.core.membership;

/**
 * What a sidecar says of itself. Immutable.
 *
 * @param accepting whether it takes new work
 * @param running requests running
 * @param waiting requests waiting
 * @param waitMillis estimated wait of a new request in ms
 * @param slots requests that run at once
 * @param liveAhead live requests running and waiting
 */
public record SidecarReport(boolean accepting, int running, int waiting, int waitMillis, int slots, int liveAhead) {}

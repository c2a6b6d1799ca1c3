package org.citrontide.core.membership;

/**
 * Readiness and load of a sidecar, as it reports them. Immutable.
 *
 * @param isAccepting whether it accepts new requests
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param waitMillis estimated queueing time of a new request, ms
 * @param slots maximum number of requests that run concurrently
 * @param liveAhead number of running and waiting live requests
 */
public record SidecarReport(boolean isAccepting, int running, int waiting, int waitMillis, int slots, int liveAhead) {}

package org.citrontide.core.membership;

import java.util.Optional;

import org.citrontide.core.publication.Urgency;

/**
 * State of one upstream as one entry sees it.
 *
 * <p>Invariant: the sidecar's own report takes precedence over the platform's list, and a lost link over both. Not
 * thread-safe: owned by the directory's thread.
 */
public final class Upstream {
    private static final double HEALTH_SAMPLE_WEIGHT = 0.2;
    private static final double MIN_HEALTH = 0.05;
    private static final SidecarReport NO_REPORT = new SidecarReport(false, 0, 0, 0, 1, 0);

    private final ListedVm vm;
    private boolean isLinked;
    private Optional<SidecarReport> report = Optional.empty();
    private final SentCounts sentAll = new SentCounts();
    private final SentCounts sentLive = new SentCounts();
    private double health = 1;

    Upstream(ListedVm vm) {
        this.vm = vm;
    }

    /**
     * Returns the upstream's VM as the platform lists it.
     *
     * @return name, zone, service and address
     */
    public ListedVm vm() {
        return vm;
    }

    /**
     * Returns whether new requests may be sent to this upstream.
     *
     * @return true if the link is up and the sidecar reports that it accepts requests
     */
    public boolean isAccepting() {
        return isLinked && report.map(SidecarReport::isAccepting).orElse(false);
    }

    /**
     * Estimates the load that a new request would find. Live requests are served before all others, so only live ones
     * count for a live request.
     *
     * @param urgency urgency class of the new request
     * @return number of requests ahead plus the new one, per slot, divided by the health of the upstream
     */
    public double load(Urgency urgency) {
        SidecarReport lastReport = report.orElse(NO_REPORT);
        boolean isLive = urgency == Urgency.LIVE;
        int reported = isLive ? lastReport.liveAhead() : lastReport.running() + lastReport.waiting();
        SentCounts sent = isLive ? sentLive : sentAll;
        double ahead = Math.max(sent.outstanding, reported + sent.sinceReport);
        return (ahead + 1) / Math.max(1, lastReport.slots()) / health;
    }

    /**
     * Returns the number of requests in flight from this entry to the upstream.
     *
     * @return number of requests sent and not yet ended
     */
    public int outstanding() {
        return sentAll.outstanding;
    }

    /**
     * Returns the last report of the sidecar since the link came up.
     *
     * @return the report, or empty if none has arrived on the current link
     */
    public Optional<SidecarReport> report() {
        return report;
    }

    void markLinkUp() {
        isLinked = true;
    }

    void markLinkDown() {
        isLinked = false;
        report = Optional.empty();
        resetSentSinceReport();
    }

    boolean isLinked() {
        return isLinked;
    }

    void updateReport(SidecarReport newReport) {
        report = Optional.of(newReport);
        resetSentSinceReport();
    }

    void recordSent(Urgency urgency) {
        sentAll.add(1);
        if (urgency == Urgency.LIVE) {
            sentLive.add(1);
        }
    }

    void recordEnded(Urgency urgency, boolean hasFailed) {
        sentAll.outstanding--;
        if (urgency == Urgency.LIVE) {
            sentLive.outstanding--;
        }
        double sample = hasFailed ? MIN_HEALTH : 1;
        health = Math.max(MIN_HEALTH, health + HEALTH_SAMPLE_WEIGHT * (sample - health));
    }

    private void resetSentSinceReport() {
        sentAll.sinceReport = 0;
        sentLive.sinceReport = 0;
    }

    /** Counts of the requests that this entry sent. */
    private static final class SentCounts {
        private int sinceReport;
        private int outstanding;

        private void add(int count) {
            sinceReport += count;
            outstanding += count;
        }
    }
}

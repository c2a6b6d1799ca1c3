package org.citrontide.core.membership;

import java.util.Optional;

/**
 * What one entry knows of one upstream.
 *
 * <p>Invariant: the sidecar's own word goes before the platform's list, and a lost link before both. Not thread-safe:
 * owned by the directory's thread.
 */
public final class Upstream {
    private static final double FAILURE_WEIGHT = 0.2;
    private static final double LEAST_HEALTH = 0.05;

    private final ListedVm vm;
    private boolean linked;
    private Optional<SidecarReport> report = Optional.empty();
    private int sentSinceReport;
    private int outstanding;
    private double health = 1;

    Upstream(ListedVm vm) {
        this.vm = vm;
    }

    /**
     * Returns the upstream's line of the platform's list.
     *
     * @return name, zone, service and address
     */
    public ListedVm vm() {
        return vm;
    }

    /**
     * Says whether new work may be sent here.
     *
     * @return true if the link is up and the sidecar says that it takes work
     */
    public boolean isAccepting() {
        return linked && report.map(SidecarReport::accepting).orElse(false);
    }

    /**
     * Estimates the cost of one more request in units of a slot's work.
     *
     * @return work waiting or sent here per slot, divided by the health of the upstream
     */
    public double load() {
        SidecarReport r = report.orElse(new SidecarReport(false, 0, 0, 0, 1));
        double ahead = Math.max(outstanding, r.running() + r.waiting() + sentSinceReport);
        return (ahead + 1) / Math.max(1, r.slots()) / health;
    }

    /**
     * Returns the requests sent by this entry and not ended yet.
     *
     * @return count
     */
    public int outstanding() {
        return outstanding;
    }

    /**
     * Returns the last report of the sidecar.
     *
     * @return the report, or empty if the link never gave one
     */
    public Optional<SidecarReport> report() {
        return report;
    }

    void linkUp() {
        linked = true;
    }

    void linkDown() {
        linked = false;
        report = Optional.empty();
        sentSinceReport = 0;
    }

    boolean isLinked() {
        return linked;
    }

    void reported(SidecarReport r) {
        report = Optional.of(r);
        sentSinceReport = 0;
    }

    void sent() {
        sentSinceReport++;
        outstanding++;
    }

    void ended(boolean failed) {
        outstanding--;
        double sample = failed ? LEAST_HEALTH : 1;
        health = Math.max(LEAST_HEALTH, health + FAILURE_WEIGHT * (sample - health));
    }
}

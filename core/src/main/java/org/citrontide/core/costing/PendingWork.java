package org.citrontide.core.costing;

/**
 * The work of one attempt that is in flight, as expected from what was known when it was sent and what has arrived.
 *
 * <p>Not thread-safe: confined to the dispatcher's thread.
 */
public final class PendingWork {
    private static final double NANOS_PER_MS = 1e6;

    private final CostDistribution distribution;
    private final double announcedPasses;
    private final double promptPasses;
    private final long sentNanos;
    private final double expected;
    // Changes only with the events, whereas placing reads it for every upstream.
    private double passesLeft;
    private int earlierEvents;
    private int events;

    private PendingWork(CostDistribution distribution, double announcedPasses, double promptPasses, long sentNanos) {
        this.distribution = distribution;
        this.announcedPasses = announcedPasses;
        this.promptPasses = promptPasses;
        this.sentNanos = sentNanos;
        this.expected = distribution.mean() * (announcedPasses > 0 ? announcedPasses : 1);
        updatePassesLeft();
    }

    /** Creates the work of a request to a plain service, from the times in ms of requests like it. */
    static PendingWork plain(CostDistribution millis, long sentNanos) {
        return new PendingWork(millis, 0, 0, sentNanos);
    }

    /** Creates the work of a request to an engine, from the ratios of observed to announced passes. */
    static PendingWork engine(CostDistribution ratios, double announcedPasses, double promptPasses, long sentNanos) {
        return new PendingWork(ratios, announcedPasses, promptPasses, sentNanos);
    }

    /** Records that an event of the response arrived. */
    public void recordEvent() {
        events++;
        updatePassesLeft();
    }

    /**
     * Sets the number of events that earlier attempts delivered, if the attempt resumes a stream.
     *
     * @param count number of events
     */
    public void setEarlierEvents(int count) {
        earlierEvents = count;
        updatePassesLeft();
    }

    /**
     * Returns the number of events of the response.
     *
     * @return events of this attempt and of those before it
     */
    public int events() {
        return earlierEvents + events;
    }

    /**
     * Returns the expected cost of the whole request.
     *
     * @return ms at a plain service, passes at an engine
     */
    public double expected() {
        return expected;
    }

    /** Returns the expected cost of what has not been observed to end, in the same unit. */
    double left(long nowNanos) {
        return announcedPasses > 0 ? passesLeft : distribution.meanLeft(millis(nowNanos));
    }

    private void updatePassesLeft() {
        passesLeft = announcedPasses > 0 ? distribution.meanLeft(events() / announcedPasses) * announcedPasses : 0;
    }

    double millis(long nowNanos) {
        return (nowNanos - sentNanos) / NANOS_PER_MS;
    }

    /** Returns the observed cost of a request that ended, in the unit of the expected cost. */
    double observed(long nowNanos) {
        return announcedPasses > 0 ? events() : millis(nowNanos);
    }

    /** Returns the observed cost in the unit of the distribution. */
    double sample(long nowNanos) {
        return announcedPasses > 0 ? events() / announcedPasses : millis(nowNanos);
    }

    /** Returns the work for a prompt that has not been read, in passes of one stream. */
    double promptPassesLeft() {
        return events == 0 ? promptPasses : 0;
    }
}

package org.citrontide.fakes.engine;

/**
 * Faults that a fake engine injects. Immutable.
 *
 * @param breakAfterEvents number of events after which a stream breaks, 0 for no breaks
 * @param breakCount number of streams that break, starting with the next one
 * @param slowFactor duration of a step relative to a healthy engine, 0 or less means 1
 * @param ignoreFencing whether orders with a stale fencing number are accepted
 */
public record EngineFaults(int breakAfterEvents, int breakCount, double slowFactor, boolean ignoreFencing) {
    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, 1, false);
}

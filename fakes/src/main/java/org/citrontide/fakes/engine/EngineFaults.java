package org.citrontide.fakes.engine;

/**
 * The faults that a fake engine shows. Immutable.
 *
 * @param breakAfterEvents the next streams break after so many events, 0 for none
 * @param breakCount number of streams that break
 * @param slowFactor time of a step relative to a healthy engine, 0 means 1
 * @param ignoreFencing whether orders with an old fencing number are carried out
 */
public record EngineFaults(int breakAfterEvents, int breakCount, double slowFactor, boolean ignoreFencing) {
    /** An engine without faults. */
    public static final EngineFaults NONE = new EngineFaults(0, 0, 1, false);
}

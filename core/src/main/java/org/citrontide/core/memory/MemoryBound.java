package org.citrontide.core.memory;

import java.util.Locale;

/** The bound because of which an account is refused. */
public enum MemoryBound {
    /** The account alone holds as much as one account may. */
    ACCOUNT,
    /** The share of the holder is used up. */
    SHARE,
    /** The large accounts together hold all but the reserve of the small ones. */
    LARGE,
    /** All holders together hold as much as they may. */
    TOTAL,
    /** Reading has been paused at the high mark for too long. */
    PRESSURE;

    /**
     * Returns the key used in logs and metrics.
     *
     * @return the name in lower case
     */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }
}

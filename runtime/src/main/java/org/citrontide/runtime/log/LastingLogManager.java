package org.citrontide.runtime.log;

import java.util.logging.LogManager;

/**
 * Keeps the log's handlers while the process stops, so that a graceful stop is logged to its end. Chosen by the
 * launcher with the property {@code java.util.logging.manager}. Safe for use by many threads.
 */
public final class LastingLogManager extends LogManager {
    /** Makes the manager; called by the JDK. */
    public LastingLogManager() {
        // The JDK needs a public constructor.
    }

    @Override
    public void reset() {
        // The JDK calls this from a shutdown hook that runs beside the graceful stop.
    }
}

package org.citrontide.runtime.log;

import java.util.logging.LogManager;

/**
 * Keeps the log handlers installed during JVM shutdown, so that a graceful shutdown is logged until its end. The
 * launcher selects this class with the system property {@code java.util.logging.manager}. Thread-safe.
 */
public final class LastingLogManager extends LogManager {
    /** Creates the log manager; called by the JDK. */
    public LastingLogManager() {
        // The JDK needs a public constructor.
    }

    @Override
    public void reset() {
        // Does nothing: the JDK calls this from a shutdown hook that runs concurrently with the graceful shutdown.
    }
}

package org.citrontide.runtime.eventloop;

/** Source of time for the components that do I/O; the state machines receive the time as an argument. Thread-safe. */
public interface Clock {
    /** Clock of the JVM: {@link System#nanoTime()} and {@link System#currentTimeMillis()}. */
    Clock SYSTEM = new Clock() {
        @Override
        public long nanos() {
            return System.nanoTime();
        }

        @Override
        public long epochMillis() {
            return System.currentTimeMillis();
        }
    };

    /**
     * Returns the monotonic time.
     *
     * @return time in ns since an arbitrary origin
     */
    long nanos();

    /**
     * Returns the wall-clock time.
     *
     * @return time in ms since the epoch (1970-01-01T00:00Z)
     */
    long epochMillis();
}

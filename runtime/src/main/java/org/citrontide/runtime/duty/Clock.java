package org.citrontide.runtime.duty;

/** Source of time for the shells; the state machines get it passed in. Safe for use by many threads. */
public interface Clock {
    /** The system's clocks. */
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
     * @return time in ns from an arbitrary start
     */
    long nanos();

    /**
     * Returns the wall-clock time.
     *
     * @return time in ms since 1970
     */
    long epochMillis();
}

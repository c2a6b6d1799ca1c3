package org.citrontide.core.verdict;

import java.time.Duration;
import java.util.Objects;

/**
 * The outcome of a request or of one attempt, which says whether the request may have run.
 *
 * <p>Invariant: {@link NotRun} is only built where the upstream certainly received no byte of the request. Every path
 * that ends a request ends in one of these. Immutable and safe for use by many threads.
 */
public sealed interface Verdict {

    /**
     * Returns the value of the {@code Citrontide-Verdict} header.
     *
     * @return the name on the wire
     */
    String headerValue();

    /**
     * The upstream answered and the whole answer is at hand.
     *
     * @param status HTTP status of the upstream's answer
     */
    record Completed(int status) implements Verdict {
        @Override
        public String headerValue() {
            return "completed";
        }
    }

    /**
     * The request certainly did not run.
     *
     * @param reason why it was refused
     * @param retryAfter when the caller may ask again
     */
    record NotRun(Reason reason, Duration retryAfter) implements Verdict {

        /**
         * Checks the parts.
         *
         * @throws IllegalArgumentException if the time is negative
         */
        public NotRun {
            Objects.requireNonNull(reason);
            if (retryAfter.isNegative()) {
                throw new IllegalArgumentException("retryAfter must not be negative: " + retryAfter);
            }
        }

        @Override
        public String headerValue() {
            return "not-run";
        }
    }

    /**
     * The request may have run, and its answer is lost.
     *
     * @param reason how the answer was lost
     */
    record MayHaveRun(Reason reason) implements Verdict {
        @Override
        public String headerValue() {
            return "may-have-run";
        }
    }
}

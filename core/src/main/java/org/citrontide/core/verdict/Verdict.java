package org.citrontide.core.verdict;

import java.time.Duration;
import java.util.Objects;

/**
 * The outcome of a request or of one attempt, which states whether the request may have run.
 *
 * <p>Invariants: {@link NotRun} is only created where the upstream certainly received no byte of the request. Every
 * code path that ends a request produces a verdict. Immutable and thread-safe.
 */
public sealed interface Verdict {

    /**
     * Returns the value of the {@code Citrontide-Verdict} header.
     *
     * @return name of the verdict on the wire
     */
    String headerValue();

    /**
     * The upstream responded, and the complete response is available.
     *
     * @param status HTTP status of the response
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
     * @param retryAfter delay after which the caller may retry
     */
    record NotRun(Reason reason, Duration retryAfter) implements Verdict {

        /**
         * Validates the verdict.
         *
         * @throws IllegalArgumentException if the delay is negative
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
     * The request may have run, and its response was lost.
     *
     * @param reason why the response was lost
     */
    record MayHaveRun(Reason reason) implements Verdict {
        @Override
        public String headerValue() {
            return "may-have-run";
        }
    }
}

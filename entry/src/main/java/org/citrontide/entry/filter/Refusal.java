package org.citrontide.entry.filter;

import java.time.Duration;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * The refusal of a request by a filter. Immutable.
 *
 * @param verdict verdict on the request, which has not run
 * @param detail text for the caller on what to change; must not contain secrets
 */
public record Refusal(Verdict.NotRun verdict, String detail) {

    /**
     * Creates a refusal of a request that a retry would not help.
     *
     * @param reason reason for the refusal
     * @param detail text for the caller on what to change
     * @return the refusal, with no delay before a retry
     */
    static Refusal of(Reason reason, String detail) {
        return new Refusal(new Verdict.NotRun(reason, Duration.ZERO), detail);
    }
}

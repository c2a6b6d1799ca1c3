package org.citrontide.entry.filter;

import java.time.Duration;

import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * Why a filter turned a request away. Immutable.
 *
 * @param verdict the verdict, always one of not run
 * @param detail what the caller should change, without any secret
 */
public record Refusal(Verdict.NotRun verdict, String detail) {

    /**
     * Refuses a request that won't fare better later.
     *
     * @param reason why
     * @param detail what the caller should change
     * @return the refusal
     */
    static Refusal of(Reason reason, String detail) {
        return new Refusal(new Verdict.NotRun(reason, Duration.ZERO), detail);
    }
}

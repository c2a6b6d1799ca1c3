package org.citrontide.core.quarantine;

import java.util.List;

/** What one gateway has observed and reports to all others: a crash, or an answer that speaks against its suspects. */
public sealed interface CrashEvidence {

    /**
     * Returns the time of the observation.
     *
     * @return monotonic time of this process in ns, also if another gateway observed it
     */
    long observedNanos();

    /**
     * The crash of one upstream. Immutable.
     *
     * @param upstream key of the upstream's instance, see
     *     {@link org.citrontide.core.routes.ListedUpstream#instanceKey()}
     * @param observedNanos monotonic time in ns at which the first attempt was lost
     * @param prompts shared parts of each prompt whose answer the upstream had not begun for this gateway
     */
    record Crash(String upstream, long observedNanos, List<List<String>> prompts) implements CrashEvidence {

        /** Copies the lists. */
        public Crash {
            prompts = prompts.stream().map(List::copyOf).toList();
        }
    }

    /**
     * The answer of an upstream to a prompt with a part that was suspected. Immutable.
     *
     * @param part identifier of the part
     * @param observedNanos monotonic time in ns at which the upstream was answering
     */
    record Answer(String part, long observedNanos) implements CrashEvidence {}
}

package org.citrontide.core.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.citrontide.core.routes.ListedUpstream;

/**
 * Distinguishes the crash of an upstream from the loss of a connection: after a loss the upstream is asked for a new
 * connection, which only a host without the upstream's process refuses.
 *
 * <p>Handles the connections of a whole group that end together when one of its members crashes. Invariant: at most one
 * check of an upstream's instance is pending. Not thread-safe.
 */
public final class CrashDetector {
    private final Map<String, PendingCheck> pendingByInstance = new HashMap<>();

    /** The attempts that were lost at one upstream since its check was requested. */
    private record PendingCheck(long lostNanos, List<List<String>> prompts) {}

    /**
     * Records that an attempt was lost before the upstream had begun its answer.
     *
     * @param upstream the upstream
     * @param parts shared parts of the prompt
     * @param nowNanos monotonic time in ns
     * @return whether a check of the upstream must be started
     */
    public boolean recordLoss(ListedUpstream upstream, List<String> parts, long nowNanos) {
        PendingCheck known = pendingByInstance.get(upstream.instanceKey());
        PendingCheck check = known == null ? new PendingCheck(nowNanos, new ArrayList<>()) : known;
        check.prompts().add(parts);
        pendingByInstance.put(upstream.instanceKey(), check);
        return known == null;
    }

    /**
     * Records the result of a check.
     *
     * @param upstream the upstream
     * @param isRefused whether the upstream's host refused the connection
     * @return the crash, or empty if the upstream did not certainly crash
     */
    public Optional<CrashEvidence.Crash> recordCheck(ListedUpstream upstream, boolean isRefused) {
        PendingCheck check = pendingByInstance.remove(upstream.instanceKey());
        if (check == null || !isRefused) {
            return Optional.empty();
        }
        return Optional.of(new CrashEvidence.Crash(upstream.instanceKey(), check.lostNanos(), check.prompts()));
    }
}

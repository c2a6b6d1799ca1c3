package org.citrontide.core.gateway;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.citrontide.core.outage.Heartbeats;
import org.citrontide.core.routes.ListedUpstream;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the handling of removed and expired entries. */
final class MembershipViewTest {
    private static final long SECOND = 1_000_000_000L;

    private final MembershipView view = new MembershipView();

    @Test
    void anEntryRemovedWhileTheStoreIsAvailableIsDroppedImmediately() {
        view.putEntry(upstream("a", false));
        view.removeEntry("a", SECOND);
        assertEquals(List.of(), view.upstreams());
    }

    @Test
    void anEntryThatExpiredDuringAStoreOutageIsKeptForAGracePeriod() {
        view.putEntry(upstream("a", false));
        view.putEntry(upstream("b", false));
        view.recordStoreServed(Heartbeats.UNKNOWN, 5 * SECOND);
        view.recordStoreFailure(7 * SECOND);
        view.recordStoreServed(Heartbeats.UNKNOWN, 10 * SECOND);
        view.replaceAll(List.of(), 10 * SECOND);
        assertEquals(2, view.upstreams().size());
        view.putEntry(upstream("a", false));
        assertEquals(Set.of(), view.expire(11 * SECOND));
        assertEquals(Set.of("b"), view.expire(13 * SECOND));
        assertEquals(List.of(upstream("a", false)), view.upstreams());
    }

    @Test
    void anEntryRemovedAfterAShortInterruptionIsDroppedImmediately() {
        view.putEntry(upstream("a", false));
        view.recordStoreServed(Heartbeats.UNKNOWN, 8 * SECOND);
        view.recordStoreFailure(7 * SECOND);
        view.recordStoreServed(Heartbeats.UNKNOWN, 10 * SECOND - 1);
        view.removeEntry("a", 10 * SECOND);
        assertEquals(List.of(), view.upstreams());
    }

    @Test
    void aLongPauseBetweenCallsIsNoOutage() {
        view.putEntry(upstream("a", false));
        view.recordStoreServed(Heartbeats.UNKNOWN, 5 * SECOND);
        view.recordStoreServed(Heartbeats.UNKNOWN, 10 * SECOND);
        view.removeEntry("a", 10 * SECOND);
        assertEquals(List.of(), view.upstreams());
    }

    @Test
    void aDrainingUpstreamIsNotKept() {
        view.putEntry(upstream("a", true));
        view.recordStoreServed(Heartbeats.UNKNOWN, 5 * SECOND);
        view.recordStoreFailure(7 * SECOND);
        view.recordStoreServed(Heartbeats.UNKNOWN, 10 * SECOND);
        view.removeEntry("a", 10 * SECOND);
        assertEquals(List.of(), view.upstreams());
    }

    /** Guards against an upstream that left after an outage and gets work until the grace period ends. */
    @Test
    void anEntryWrittenSinceAnOutageIsDroppedImmediately() {
        view.putEntry(upstream("a", false));
        view.putEntry(upstream("b", false));
        view.recordStoreServed(Heartbeats.UNKNOWN, 5 * SECOND);
        view.recordStoreFailure(7 * SECOND);
        view.recordStoreServed(new Heartbeats(Map.of(), Set.of("b")), 10 * SECOND);
        view.recordStoreServed(new Heartbeats(Map.of(), Set.of("a")), 11 * SECOND);
        assertFalse(view.removeEntry("a", 11 * SECOND));
        assertTrue(view.removeEntry("b", 11 * SECOND), "may have been written before the outage");
        assertEquals(List.of(upstream("b", false)), view.upstreams());
    }

    /** Guards against a kept entry that outlives the time within which live upstreams write again. */
    @Test
    void theGracePeriodEndsAtTheTimeThatItsBeginNames() {
        view.putEntry(upstream("a", false));
        view.recordStoreServed(Heartbeats.UNKNOWN, 5 * SECOND);
        view.recordStoreFailure(7 * SECOND);
        long end = view.recordStoreServed(Heartbeats.UNKNOWN, 10 * SECOND)
                .orElseThrow()
                .endNanos();
        assertEquals(10 * SECOND + 2_200_000_000L, end);
        assertTrue(view.removeEntry("a", 10 * SECOND));
        assertEquals(Set.of(), view.expire(end - 1));
        assertEquals(Set.of("a"), view.expire(end));
    }

    private static ListedUpstream upstream(String id, boolean draining) {
        return new ListedUpstream(id, "s", "10.0.0.1", 80, "z", 4, draining, 0);
    }
}

package org.citrontide.core.locality;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class LocalityPolicyTest {
    private final LocalityPolicy policy = new LocalityPolicy(Map.of("z1", "north", "z2", "south"));

    // Guards against requests that leave their home region.
    @Test
    void aZoneIsAdmittedOnlyIfRouteAndTeamAllowItsRegion() {
        assertTrue(policy.admits("z1", Set.of(), Set.of()));
        assertTrue(policy.admits("z1", Set.of("north"), Set.of()));
        assertFalse(policy.admits("z1", Set.of("south"), Set.of()));
        assertFalse(policy.admits("z1", Set.of(), Set.of("south")));
        assertFalse(policy.admits("z1", Set.of("north"), Set.of("south")));
        assertTrue(policy.admits("z1", Set.of("north", "south"), Set.of("north")));
    }

    // Guards against a zone without a region that is taken for one of all regions.
    @Test
    void aZoneOfUnknownRegionIsAdmittedOnlyWithoutRestriction() {
        assertTrue(policy.admits("z9", Set.of(), Set.of()));
        assertFalse(policy.admits("z9", Set.of("north", "south"), Set.of()));
        assertFalse(policy.admits("z9", Set.of(), Set.of("north", "south")));
    }

    // Guards against an evacuation that is overridden by an allowed region.
    @Test
    void anEvacuatedZoneIsNeverAdmitted() {
        policy.setEvacuatedZones(Set.of("z1"));
        assertFalse(policy.admitsAllZones(Set.of(), Set.of()));
        assertFalse(policy.admits("z1", Set.of(), Set.of()));
        assertFalse(policy.admits("z1", Set.of("north"), Set.of("north")));
        assertTrue(policy.admits("z2", Set.of(), Set.of()));
        policy.setEvacuatedZones(Set.of());
        assertTrue(policy.admitsAllZones(Set.of(), Set.of()));
        assertFalse(policy.admitsAllZones(Set.of("north"), Set.of()));
        assertFalse(policy.admitsAllZones(Set.of(), Set.of("north")));
    }

    // Guards against a returned zone that is not reported because another one is evacuated at the same time.
    @Test
    void theTrackerReportsBothDirectionsOfAChange() {
        EvacuationTracker tracker = new EvacuationTracker();
        assertTrue(tracker.replace(Set.of()).isEmpty());
        assertEquals(new EvacuationTracker.Change(Set.of("z1", "z2"), Set.of()), tracker.replace(Set.of("z1", "z2")));
        assertEquals(new EvacuationTracker.Change(Set.of("z3"), Set.of("z1")), tracker.replace(Set.of("z2", "z3")));
        assertTrue(tracker.replace(Set.of("z3", "z2")).isEmpty());
        assertEquals(new EvacuationTracker.Change(Set.of(), Set.of("z2", "z3")), tracker.replace(Set.of()));
    }
}

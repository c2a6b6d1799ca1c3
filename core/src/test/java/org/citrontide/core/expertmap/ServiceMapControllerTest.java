package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.citrontide.core.routes.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs services of several groups, each with a demand of its own that shifts every three seconds, in virtual time. */
final class ServiceMapControllerTest {
    private static final int RANKS = 4;
    private static final int EXPERTS = 16;
    private static final EngineProfile PROFILE =
            new EngineProfile(8, 100_000, 5, 0.5, 0.05, 60_000, 5, 140, 800, 1, EXPERTS, 6, 2, 100, 100_000);
    private static final EngineProfile CHANGED_PROFILE =
            new EngineProfile(8, 100_000, 5, 0.5, 0.05, 60_000, 5, 140, 900, 1, EXPERTS, 6, 2, 100, 100_000);

    @Test
    void adaptsTheMapOfEveryGroup() {
        for (int count : new int[] {1, 2, 3, 8}) {
            List<FakeGroup> groups = groups(count);
            new ServiceMapSimulation(groups, PROFILE, 1, 0).runUntil(20_000);
            for (FakeGroup g : groups) {
                assertEquals("", g.violation());
                assertTrue(g.changes() >= 4, g.changes() + " changes of one of " + count + " groups");
            }
        }
    }

    @Test
    void brokenGroupDelaysNoOtherGroup() {
        List<FakeGroup> groups = groups(2);
        ServiceMapSimulation sim = new ServiceMapSimulation(groups, PROFILE, 1, 0);
        sim.runUntil(3_000);
        groups.getFirst().setOpen(false);
        int before = groups.getLast().changes();
        sim.runUntil(15_000);
        assertTrue(groups.getLast().changes() >= before + 3, groups.getLast().changes() + " changes after " + before);
        groups.getFirst().setOpen(true);
        int broken = groups.getFirst().changes();
        sim.runUntil(20_000);
        assertTrue(groups.getFirst().changes() > broken, "no change after the group formed again");
    }

    @Test
    void unreachableUpstreamOfOneGroupDelaysNoOtherGroup() {
        List<FakeGroup> groups = groups(2);
        ServiceMapSimulation sim = new ServiceMapSimulation(groups, PROFILE, 1, 0);
        sim.cutOff("0-1");
        sim.runUntil(10_000);
        assertEquals(0, groups.getFirst().changes());
        assertTrue(groups.getLast().changes() >= 2, groups.getLast().changes() + " changes");
    }

    // Guards against a pass on two maps of the same version, of which ranks that got the first one refuse the second.
    @Test
    void noVersionIsUsedTwiceIfTheEngineProfileChangesWithinATerm() {
        int searches = 0;
        for (long seed = 1; seed <= 20; seed++) {
            List<FakeGroup> groups = groups(2);
            ServiceMapSimulation sim = new ServiceMapSimulation(groups, PROFILE, seed, 0.1);
            for (int at = 1_000; at <= 12_000; at += 700) {
                sim.runUntil(at + seed * 30);
                sim.changeProfile(at % 1_400 == 200 ? PROFILE : CHANGED_PROFILE);
            }
            assertEquals(sim.versions().size(), Set.copyOf(sim.versions()).size(), "seed " + seed);
            groups.forEach(g -> assertEquals("", g.violation()));
            searches += sim.versions().size();
        }
        assertTrue(searches > 100, searches + " searches");
    }

    @Test
    void startsNoPassOnTwoMapsWhileCallsAreLost() {
        int changes = 0;
        for (long seed = 1; seed <= 60; seed++) {
            List<FakeGroup> groups = groups(2);
            ServiceMapSimulation sim = new ServiceMapSimulation(groups, PROFILE, seed, 0.15);
            for (int at = 2_000; at <= 20_000; at += 1_000) {
                sim.runUntil(at);
                if (at % 7_000 == 0) {
                    groups.get((int) (seed % 2)).crash();
                }
            }
            for (FakeGroup g : groups) {
                assertEquals("", g.violation(), "seed " + seed);
                changes += g.changes();
            }
        }
        assertTrue(changes > 240, changes + " changes in total");
    }

    @Test
    void groupsOfOneTermNeverShareAVersion() {
        ServiceMapSimulation sim = new ServiceMapSimulation(groups(3), PROFILE, 1, 0);
        sim.runUntil(20_000);
        assertEquals(
                sim.versions().size(),
                new HashSet<>(sim.versions()).size(),
                sim.versions().toString());
    }

    @Test
    void upstreamThatReportsAnotherGroupMovesThere() {
        ServiceMapController controller = new ServiceMapController(PROFILE, ControlCosts.NONE);
        controller.handle(new MapEvent.MembersChanged(List.of("a", "b")), 0);
        controller.handle(new MapEvent.Elected(1), 0);
        controller.handleResult(ServiceMapController.DISCOVERY, reportOf("a", "g1"), 0);
        controller.handleResult(ServiceMapController.DISCOVERY, reportOf("b", "g1"), 0);
        assertEquals(Map.of("g1", List.of("a", "b")), controller.groups());
        controller.handleResult("g1", reportOf("b", "g2"), 1);
        assertEquals(Map.of("g1", List.of("a"), "g2", List.of("b")), controller.groups());
    }

    @Test
    void upstreamThatIsNoLongerListedBelongsToNoGroup() {
        ServiceMapController controller = new ServiceMapController(PROFILE, ControlCosts.NONE);
        controller.handle(new MapEvent.MembersChanged(List.of("a")), 0);
        controller.handle(new MapEvent.Elected(1), 0);
        controller.handleResult(ServiceMapController.DISCOVERY, reportOf("a", "g1"), 0);
        controller.handle(new MapEvent.MembersChanged(List.of()), 1);
        assertEquals(Map.of(), controller.groups());
        controller.handleResult("g1", reportOf("a", "g1"), 2);
        assertEquals(Map.of(), controller.groups());
        assertFalse(controller.isHolding());
    }

    private static MapEvent reportOf(String upstream, String group) {
        RankReport report = new RankReport(
                group, 1, 0, 2, true, 1, 0, OptionalLong.empty(), OptionalLong.empty(), OptionalLong.empty(), 1, 0, 0);
        return new MapEvent.ReportRead(upstream, Optional.of(report));
    }

    private static List<FakeGroup> groups(int count) {
        List<FakeGroup> groups = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            groups.add(new FakeGroup("group" + i, RANKS, new HotExpertDemand(RANKS, EXPERTS)));
        }
        return groups;
    }
}

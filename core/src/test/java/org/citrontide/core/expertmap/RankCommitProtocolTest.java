package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks the commit protocol under all interleavings of a small group and under random faults in large ones. A message
 * may be delayed, duplicated, reordered or lost; a sidecar may restart at any time; two controllers send competing
 * proposals.
 */
final class RankCommitProtocolTest {
    private static final int LAST_STEP = 2;

    /** A vote that was sent; any rank may receive it. */
    private record SentVote(int rank, MapId map, boolean accepted) {}

    @Test
    void allRanksUseTheSameMapInEveryStepInAllInterleavings() {
        GroupStateSearch search = new GroupStateSearch(LAST_STEP);
        search.run();
        System.out.printf(
                "expert map: %d states, %d with the change everywhere, %d with two changes%n",
                search.stateCount(), search.changedCount(), search.changedTwiceCount());
        assertEquals("", search.violation());
        assertTrue(search.changedCount() > 0 && search.changedTwiceCount() > 0, "the search must reach map changes");
    }

    @Test
    void largeGroupsUseOneMapPerStepUnderRandomFaults() {
        int changes = 0;
        for (long seed = 0; seed < 20; seed++) {
            changes += randomRun(16, 60, new SplittableRandom(seed));
        }
        assertTrue(changes > 20, changes + " map changes among 16 ranks");
        assertTrue(randomRun(256, 13, new SplittableRandom(1)) > 0, "no map change among 256 ranks");
    }

    /** Runs one group with lost, delayed and duplicated messages and returns the number of map changes on all ranks. */
    private static int randomRun(int ranks, int rounds, SplittableRandom random) {
        List<RankState> states = new ArrayList<>();
        for (int r = 0; r < ranks; r++) {
            states.add(RankState.initial(r, ranks));
        }
        List<MapId> mapOfStep = new ArrayList<>();
        MapProposal proposal = null;
        for (int round = 0; round < rounds; round++) {
            if (round % 6 == 0) {
                long step = states.stream()
                                .mapToLong(RankState::permittedStep)
                                .max()
                                .orElse(0)
                        + 1
                        + random.nextInt(3);
                proposal = new MapProposal(
                        new MapId(1 + round, 1), states.getFirst().currentMap(), step);
            }
            List<SentVote> votes = new ArrayList<>();
            for (int r = 0; r < ranks; r++) {
                handle(states, r, new RankEvent.WeightsLoaded(proposal.map()), votes);
                if (random.nextInt(ranks * 4) > 0) {
                    handle(states, r, new RankEvent.ProposalReceived(proposal), votes);
                }
                if (random.nextInt(ranks * 4) == 0) {
                    states.set(r, states.get(r).afterRestart());
                }
            }
            for (SentVote t : votes) {
                for (int r = 0; r < ranks; r++) {
                    if (r != t.rank() && random.nextInt(ranks * ranks) > 0) {
                        handle(
                                states,
                                r,
                                new RankEvent.VoteReceived(t.rank(), t.map(), t.accepted()),
                                new ArrayList<>());
                    }
                }
            }
            for (int r = 0; r < ranks; r++) {
                handle(states, r, new RankEvent.StepsRequested(1 + random.nextInt(2)), votes);
            }
            runSteps(states, mapOfStep);
        }
        return new TreeSet<>(mapOfStep).size() - 1;
    }

    private static void handle(List<RankState> states, int r, RankEvent event, List<SentVote> votes) {
        RankCommitProtocol.Transition t = RankCommitProtocol.handle(states.get(r), event);
        states.set(r, t.state());
        t.actions().stream()
                .filter(RankAction.SendVote.class::isInstance)
                .map(RankAction.SendVote.class::cast)
                .forEach(v -> votes.add(new SentVote(r, v.map(), v.accepted())));
    }

    /** Runs every step that all ranks permit and asserts that they use the same map in it. */
    private static void runSteps(List<RankState> states, List<MapId> mapOfStep) {
        long permitted =
                states.stream().mapToLong(RankState::permittedStep).min().orElse(-1);
        while (mapOfStep.size() <= permitted) {
            long step = mapOfStep.size();
            MapId map = states.getFirst().mapAt(step);
            states.forEach(s -> assertEquals(map, s.mapAt(step), "rank " + s.rank() + " in step " + step));
            mapOfStep.add(map);
        }
    }
}

package org.citrontide.core.expertmap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Searches all reachable states of a group of three ranks and two controllers, breadth first.
 *
 * <p>Sent messages are kept in sets that only grow, so each may be delayed, duplicated, reordered or lost. A state of
 * the group is packed into a {@code long}: the index of each rank's state, and one bit for each proposal and vote sent.
 */
final class GroupStateSearch {
    private static final int RANKS = 3;
    private static final int STATE_BITS = 14;
    private static final int VOTE_BITS = 12;
    private static final long STATE_MASK = (1L << STATE_BITS) - 1;

    /** The result of an event in a rank state: the index of the next state and the votes sent. */
    private record StateTransition(int state, int votes) {}

    private final int lastStep;
    private final List<MapProposal> candidates = new ArrayList<>();
    private final List<RankState> rankStates = new ArrayList<>();
    private final Map<RankState, Integer> indexes = new HashMap<>();
    private final Map<Integer, StateTransition> transitions = new HashMap<>();
    private final Set<Long> visited = new HashSet<>();
    private final Deque<Long> queue = new ArrayDeque<>();
    private String violation = "";
    private int changedCount;
    private int changedTwiceCount;

    GroupStateSearch(int lastStep) {
        this.lastStep = lastStep;
        for (long step = 1; step <= 2; step++) {
            candidates.add(new MapProposal(new MapId(1, 1), MapId.INITIAL, step));
            candidates.add(new MapProposal(new MapId(2, 1), MapId.INITIAL, step));
            candidates.add(new MapProposal(new MapId(2, 1), new MapId(1, 1), step));
        }
    }

    void run() {
        for (int failedRank = -1; failedRank <= RANKS - 1; failedRank++) {
            long groupState = 0;
            for (int r = 0; r < RANKS; r++) {
                groupState |= (long) index(initialState(r, failedRank)) << shift(r);
            }
            visit(groupState);
        }
        while (!queue.isEmpty() && violation.isEmpty()) {
            long groupState = queue.poll();
            check(groupState);
            expand(groupState);
        }
    }

    int stateCount() {
        return visited.size();
    }

    int changedCount() {
        return changedCount;
    }

    int changedTwiceCount() {
        return changedTwiceCount;
    }

    String violation() {
        return violation;
    }

    /** Returns the initial state of a rank: both maps are loaded, except that the failed rank lacks one of them. */
    private static RankState initialState(int rank, int failedRank) {
        RankState s = RankState.initial(rank, RANKS);
        for (long fencingToken = 1; fencingToken <= 2; fencingToken++) {
            if (rank != failedRank || fencingToken != 1 + failedRank % 2) {
                s = RankCommitProtocol.handle(s, new RankEvent.WeightsLoaded(new MapId(fencingToken, 1)))
                        .state();
            }
        }
        return s;
    }

    private void expand(long groupState) {
        int proposals = proposals(groupState);
        for (int i = 0; i < candidates.size(); i++) {
            if (!isProposed(proposals, candidates.get(i).map())) {
                visit(groupState | 1L << (proposalShift() + i));
            }
        }
        for (int r = 0; r < RANKS; r++) {
            RankState s = rankState(groupState, r);
            if (s.permittedStep() < lastStep) {
                applyEvent(groupState, r, 0);
            }
            if (s.pendingVote().isPresent()) {
                applyEvent(groupState, r, 1);
            }
            for (int i = 0; i < candidates.size(); i++) {
                if ((proposals & 1 << i) != 0) {
                    applyEvent(groupState, r, 2 + i);
                }
            }
            for (int v = 0; v < VOTE_BITS; v++) {
                if ((votes(groupState) & 1 << v) != 0 && v / 4 != r) {
                    applyEvent(groupState, r, 2 + candidates.size() + v);
                }
            }
        }
    }

    private boolean isProposed(int proposals, MapId map) {
        for (int i = 0; i < candidates.size(); i++) {
            if ((proposals & 1 << i) != 0 && candidates.get(i).map().equals(map)) {
                return true;
            }
        }
        return false;
    }

    private void applyEvent(long groupState, int rank, int event) {
        int from = (int) (groupState >> shift(rank) & STATE_MASK);
        StateTransition next =
                transitions.computeIfAbsent(from << 5 | event, k -> transition(rankStates.get(from), event));
        long cleared = groupState & ~(STATE_MASK << shift(rank));
        visit(cleared | (long) next.state() << shift(rank) | (long) next.votes() << RANKS * STATE_BITS);
    }

    private StateTransition transition(RankState s, int event) {
        if (event == 1) {
            return new StateTransition(index(s.afterRestart()), 0);
        }
        RankCommitProtocol.Transition t = RankCommitProtocol.handle(s, event(event));
        int sentVotes = 0;
        for (RankAction a : t.actions()) {
            if (a instanceof RankAction.SendVote v) {
                sentVotes |= 1 << s.rank() * 4 + (int) (v.map().fencingToken() - 1) * 2 + (v.accepted() ? 1 : 0);
            }
        }
        return new StateTransition(index(t.state()), sentVotes);
    }

    private RankEvent event(int event) {
        if (event == 0) {
            return new RankEvent.StepsRequested(1);
        }
        int i = event - 2;
        if (i < candidates.size()) {
            return new RankEvent.ProposalReceived(candidates.get(i));
        }
        int v = i - candidates.size();
        return new RankEvent.VoteReceived(v / 4, new MapId(1 + v % 4 / 2, 1), v % 2 == 1);
    }

    private void check(long groupState) {
        int ranksChangedTwice = 0;
        int ranksChanged = 0;
        for (int a = 0; a < RANKS; a++) {
            RankState s = rankState(groupState, a);
            ranksChanged += s.permittedStep() == lastStep && s.switches().size() > 1 ? 1 : 0;
            ranksChangedTwice += s.switches().size() == 3 ? 1 : 0;
            for (int b = 0; b < a; b++) {
                RankState o = rankState(groupState, b);
                for (long step = 0; step <= Math.min(s.permittedStep(), o.permittedStep()); step++) {
                    if (!s.mapAt(step).equals(o.mapAt(step))) {
                        violation = "step " + step + " of " + s + " and " + o;
                    }
                }
            }
        }
        changedCount += ranksChanged == RANKS ? 1 : 0;
        changedTwiceCount += ranksChangedTwice == RANKS ? 1 : 0;
    }

    private void visit(long groupState) {
        if (visited.add(groupState)) {
            queue.add(groupState);
        }
    }

    private int index(RankState s) {
        return indexes.computeIfAbsent(s, x -> {
            rankStates.add(x);
            if (rankStates.size() > STATE_MASK) {
                throw new IllegalStateException("too many rank states for the index bits");
            }
            return rankStates.size() - 1;
        });
    }

    private RankState rankState(long groupState, int rank) {
        return rankStates.get((int) (groupState >> shift(rank) & STATE_MASK));
    }

    private static int shift(int rank) {
        return rank * STATE_BITS;
    }

    private static int proposalShift() {
        return RANKS * STATE_BITS + VOTE_BITS;
    }

    private static int votes(long groupState) {
        return (int) (groupState >> RANKS * STATE_BITS & (1 << VOTE_BITS) - 1);
    }

    private static int proposals(long groupState) {
        return (int) (groupState >>> proposalShift());
    }
}

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
 * Breadth-first search through all states of a group of three ranks and two controllers.
 *
 * <p>Messages are kept as sets that only grow, so that each may arrive late, doubled, in any order or never. A world is
 * packed into one number: the three ranks' states by index, the proposals made and the votes told as bits.
 */
final class GroupSearch {
    private static final int RANKS = 3;
    private static final int STATE_BITS = 14;
    private static final int VOTE_BITS = 12;
    private static final long STATE_MASK = (1L << STATE_BITS) - 1;

    /** The outcome of an event in a state: the index of the next state and the votes told. */
    private record Move(int state, int votes) {}

    private final int lastStep;
    private final List<MapProposal> candidates = new ArrayList<>();
    private final List<RankState> states = new ArrayList<>();
    private final Map<RankState, Integer> indexes = new HashMap<>();
    private final Map<Integer, Move> moves = new HashMap<>();
    private final Set<Long> seen = new HashSet<>();
    private final Deque<Long> queue = new ArrayDeque<>();
    private String violation = "";
    private int changed;
    private int changedTwice;

    GroupSearch(int lastStep) {
        this.lastStep = lastStep;
        for (long step = 1; step <= 2; step++) {
            candidates.add(new MapProposal(new MapId(1, 1), MapId.INITIAL, step));
            candidates.add(new MapProposal(new MapId(2, 1), MapId.INITIAL, step));
            candidates.add(new MapProposal(new MapId(2, 1), new MapId(1, 1), step));
        }
    }

    void run() {
        for (int failed = -1; failed <= RANKS - 1; failed++) {
            long world = 0;
            for (int r = 0; r < RANKS; r++) {
                world |= (long) index(start(r, failed)) << shift(r);
            }
            visit(world);
        }
        while (!queue.isEmpty() && violation.isEmpty()) {
            long world = queue.poll();
            check(world);
            expand(world);
        }
    }

    int states() {
        return seen.size();
    }

    int changed() {
        return changed;
    }

    int changedTwice() {
        return changedTwice;
    }

    String violation() {
        return violation;
    }

    /** Either all ranks have loaded both maps, or one rank failed to load one of them. */
    private static RankState start(int rank, int failed) {
        RankState s = RankState.start(rank, RANKS);
        for (long fence = 1; fence <= 2; fence++) {
            if (rank != failed || fence != 1 + failed % 2) {
                s = MapChange.on(s, new RankEvent.Loaded(new MapId(fence, 1))).state();
            }
        }
        return s;
    }

    private void expand(long world) {
        int proposals = proposals(world);
        for (int i = 0; i < candidates.size(); i++) {
            if (!isMade(proposals, candidates.get(i).map())) {
                visit(world | 1L << (proposalShift() + i));
            }
        }
        for (int r = 0; r < RANKS; r++) {
            RankState s = state(world, r);
            if (s.permit() < lastStep) {
                take(world, r, 0);
            }
            if (s.open().isPresent()) {
                take(world, r, 1);
            }
            for (int i = 0; i < candidates.size(); i++) {
                if ((proposals & 1 << i) != 0) {
                    take(world, r, 2 + i);
                }
            }
            for (int v = 0; v < VOTE_BITS; v++) {
                if ((votes(world) & 1 << v) != 0 && v / 4 != r) {
                    take(world, r, 2 + candidates.size() + v);
                }
            }
        }
    }

    private boolean isMade(int proposals, MapId map) {
        for (int i = 0; i < candidates.size(); i++) {
            if ((proposals & 1 << i) != 0 && candidates.get(i).map().equals(map)) {
                return true;
            }
        }
        return false;
    }

    private void take(long world, int rank, int event) {
        int from = (int) (world >> shift(rank) & STATE_MASK);
        Move m = moves.computeIfAbsent(from << 5 | event, k -> move(states.get(from), event));
        long cleared = world & ~(STATE_MASK << shift(rank));
        visit(cleared | (long) m.state() << shift(rank) | (long) m.votes() << RANKS * STATE_BITS);
    }

    private Move move(RankState s, int event) {
        if (event == 1) {
            return new Move(index(s.restarted()), 0);
        }
        MapChange.Transition t = MapChange.on(s, event(event));
        int told = 0;
        for (RankAction a : t.actions()) {
            if (a instanceof RankAction.Vote v) {
                told |= 1 << s.rank() * 4 + (int) (v.map().fencingToken() - 1) * 2 + (v.accepted() ? 1 : 0);
            }
        }
        return new Move(index(t.state()), told);
    }

    private RankEvent event(int event) {
        if (event == 0) {
            return new RankEvent.StepsWanted(1);
        }
        int i = event - 2;
        if (i < candidates.size()) {
            return new RankEvent.Proposed(candidates.get(i));
        }
        int v = i - candidates.size();
        return new RankEvent.VoteHeard(v / 4, new MapId(1 + v % 4 / 2, 1), v % 2 == 1);
    }

    private void check(long world) {
        int twice = 0;
        int once = 0;
        for (int a = 0; a < RANKS; a++) {
            RankState s = state(world, a);
            once += s.permit() == lastStep && s.switches().size() > 1 ? 1 : 0;
            twice += s.switches().size() == 3 ? 1 : 0;
            for (int b = 0; b < a; b++) {
                RankState o = state(world, b);
                for (long step = 0; step <= Math.min(s.permit(), o.permit()); step++) {
                    if (!s.mapAt(step).equals(o.mapAt(step))) {
                        violation = "step " + step + " of " + s + " and " + o;
                    }
                }
            }
        }
        changed += once == RANKS ? 1 : 0;
        changedTwice += twice == RANKS ? 1 : 0;
    }

    private void visit(long world) {
        if (seen.add(world)) {
            queue.add(world);
        }
    }

    private int index(RankState s) {
        return indexes.computeIfAbsent(s, x -> {
            states.add(x);
            if (states.size() > STATE_MASK) {
                throw new IllegalStateException("too many states of a rank");
            }
            return states.size() - 1;
        });
    }

    private RankState state(long world, int rank) {
        return states.get((int) (world >> shift(rank) & STATE_MASK));
    }

    private static int shift(int rank) {
        return rank * STATE_BITS;
    }

    private static int proposalShift() {
        return RANKS * STATE_BITS + VOTE_BITS;
    }

    private static int votes(long world) {
        return (int) (world >> RANKS * STATE_BITS & (1 << VOTE_BITS) - 1);
    }

    private static int proposals(long world) {
        return (int) (world >>> proposalShift());
    }
}

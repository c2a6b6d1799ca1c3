package org.citrontide.core.expertmap;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Participant side of the atomic commit protocol by which the ranks of a group change their expert map.
 *
 * <p>The engine runs only steps that the rank has permitted. A rank accepts a proposal only if its first step is beyond
 * the last permitted one, and then permits no step from that one on until it knows the outcome. The outcome depends on
 * the votes alone: the map changes if every rank accepted and does not change if any rank refused. Any rank or
 * controller can determine it by requesting the votes.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>Two ranks have the same map for every step that both permit.
 *   <li>A vote is final: the engine stores it before it is sent, and a rank votes only on proposals higher than all
 *       those it has voted on before.
 *   <li>A rank that has accepted a proposal accepts no other until it knows the outcome.
 * </ul>
 *
 * <p>A pure function of state and event; safe for use by many threads.
 */
public final class RankCommitProtocol {
    private RankCommitProtocol() {}

    /**
     * Handles an event.
     *
     * @param s state of the rank
     * @param event the event to handle
     * @return the new state and the actions for the shell
     */
    public static Transition handle(RankState s, RankEvent event) {
        return switch (event) {
            case RankEvent.PrepareRequested p -> prepare(s, p.map());
            case RankEvent.WeightsLoaded l -> persist(s.withPrepared(l.map()));
            case RankEvent.ProposalReceived p -> proposalReceived(s, p.proposal());
            case RankEvent.VoteReceived v -> voteReceived(s, v);
            case RankEvent.StepsRequested r -> stepsRequested(s, r.steps());
        };
    }

    /** Ignores requests from a controller that has lost its lease, even if the engine does not check fencing tokens. */
    private static Transition prepare(RankState s, MapId map) {
        if (map.compareTo(s.lastVoted()) <= 0 || s.prepared().contains(map)) {
            return unchanged(s);
        }
        return new Transition(s, List.of(new RankAction.LoadWeights(map)));
    }

    private static Transition proposalReceived(RankState s, MapProposal p) {
        boolean isKnown = s.pendingVote().filter(o -> o.proposal().equals(p)).isPresent();
        if (isKnown || p.map().equals(s.currentMap())) {
            return new Transition(s, List.of(new RankAction.SendVote(p.map(), true)));
        }
        if (p.map().compareTo(s.lastVoted()) <= 0) {
            return new Transition(s, List.of(new RankAction.SendVote(p.map(), false)));
        }
        if (s.pendingVote().isPresent()) {
            return new Transition(
                    s, List.of(new RankAction.RequestVotes(s.pendingVote().get().proposal())));
        }
        boolean accepted = isAcceptable(s, p);
        Optional<RankState.PendingVote> pendingVote =
                accepted ? Optional.of(new RankState.PendingVote(p, Set.of(s.rank()))) : Optional.empty();
        RankState next = s.withVote(p.map(), pendingVote);
        return new Transition(next, List.of(new RankAction.Persist(next), new RankAction.SendVote(p.map(), accepted)));
    }

    private static boolean isAcceptable(RankState s, MapProposal p) {
        return p.base().equals(s.currentMap()) && s.prepared().contains(p.map()) && p.step() > s.permittedStep();
    }

    private static Transition voteReceived(RankState s, RankEvent.VoteReceived v) {
        Optional<RankState.PendingVote> pendingVote =
                s.pendingVote().filter(o -> o.proposal().map().equals(v.map()));
        if (pendingVote.isEmpty()) {
            return unchanged(s);
        }
        if (!v.accepted()) {
            return persist(s.withPendingVote(Optional.empty()));
        }
        Set<Integer> accepted = new TreeSet<>(pendingVote.get().accepted());
        accepted.add(v.rank());
        MapProposal p = pendingVote.get().proposal();
        if (accepted.size() < s.groupSize()) {
            return unchanged(s.withPendingVote(Optional.of(new RankState.PendingVote(p, accepted))));
        }
        List<RankState.MapSwitch> switches = new ArrayList<>(s.switches());
        switches.add(new RankState.MapSwitch(p.step(), p.map()));
        return persist(s.withSwitches(switches));
    }

    private static Transition stepsRequested(RankState s, int steps) {
        long requestedStep = s.permittedStep() + steps;
        if (s.pendingVote().isEmpty()) {
            return persist(s.withPermittedStep(requestedStep));
        }
        MapProposal p = s.pendingVote().get().proposal();
        long limit = p.step() - 1;
        if (requestedStep <= limit) {
            return persist(s.withPermittedStep(requestedStep));
        }
        RankState next = s.withPermittedStep(limit);
        return new Transition(next, List.of(new RankAction.Persist(next), new RankAction.RequestVotes(p)));
    }

    private static Transition unchanged(RankState s) {
        return new Transition(s, List.of());
    }

    private static Transition persist(RankState s) {
        return new Transition(s, List.of(new RankAction.Persist(s)));
    }

    /**
     * The result of handling an event. Immutable.
     *
     * @param state the new state
     * @param actions actions for the shell, in order
     */
    public record Transition(RankState state, List<RankAction> actions) {

        /** Copies the list. */
        public Transition {
            actions = List.copyOf(actions);
        }
    }
}

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
     * @param state state of the rank
     * @param event the event to handle
     * @return the new state and the actions for the shell
     */
    public static Transition handle(RankState state, RankEvent event) {
        return switch (event) {
            case RankEvent.PrepareRequested p -> handlePrepareRequested(state, p.map());
            case RankEvent.WeightsLoaded l -> persist(state.withPrepared(l.map()));
            case RankEvent.ProposalReceived p -> handleProposalReceived(state, p.proposal());
            case RankEvent.VoteReceived v -> handleVoteReceived(state, v);
            case RankEvent.StepsRequested r -> handleStepsRequested(state, r.steps());
        };
    }

    /** Ignores requests from a controller that has lost its lease, even if the engine does not check fencing tokens. */
    private static Transition handlePrepareRequested(RankState state, MapId map) {
        if (map.compareTo(state.lastVoted()) <= 0 || state.prepared().contains(map)) {
            return unchanged(state);
        }
        return new Transition(state, List.of(new RankAction.LoadWeights(map)));
    }

    private static Transition handleProposalReceived(RankState state, MapProposal proposal) {
        boolean isKnown = state.pendingVote()
                .filter(pending -> pending.proposal().equals(proposal))
                .isPresent();
        if (isKnown || proposal.map().equals(state.currentMap())) {
            return new Transition(state, List.of(new RankAction.SendVote(proposal.map(), true)));
        }
        if (proposal.map().compareTo(state.lastVoted()) <= 0) {
            return new Transition(state, List.of(new RankAction.SendVote(proposal.map(), false)));
        }
        if (state.pendingVote().isPresent()) {
            return new Transition(
                    state,
                    List.of(new RankAction.RequestVotes(
                            state.pendingVote().get().proposal())));
        }
        boolean accepted = isAcceptable(state, proposal);
        Optional<RankState.PendingVote> pendingVote =
                accepted ? Optional.of(new RankState.PendingVote(proposal, Set.of(state.rank()))) : Optional.empty();
        RankState next = state.withVote(proposal.map(), pendingVote);
        return new Transition(
                next, List.of(new RankAction.PersistState(next), new RankAction.SendVote(proposal.map(), accepted)));
    }

    private static boolean isAcceptable(RankState state, MapProposal proposal) {
        return proposal.base().equals(state.currentMap())
                && state.prepared().contains(proposal.map())
                && proposal.step() > state.permittedStep();
    }

    private static Transition handleVoteReceived(RankState state, RankEvent.VoteReceived vote) {
        Optional<RankState.PendingVote> pendingVote =
                state.pendingVote().filter(pending -> pending.proposal().map().equals(vote.map()));
        if (pendingVote.isEmpty()) {
            return unchanged(state);
        }
        if (!vote.accepted()) {
            return persist(state.withPendingVote(Optional.empty()));
        }
        Set<Integer> accepted = new TreeSet<>(pendingVote.get().accepted());
        accepted.add(vote.rank());
        MapProposal proposal = pendingVote.get().proposal();
        if (accepted.size() < state.groupSize()) {
            return unchanged(state.withPendingVote(Optional.of(new RankState.PendingVote(proposal, accepted))));
        }
        List<RankState.MapSwitch> switches = new ArrayList<>(state.switches());
        switches.add(new RankState.MapSwitch(proposal.step(), proposal.map()));
        return persist(state.withSwitches(switches));
    }

    private static Transition handleStepsRequested(RankState state, int steps) {
        long requestedStep = state.permittedStep() + steps;
        if (state.pendingVote().isEmpty()) {
            return persist(state.withPermittedStep(requestedStep));
        }
        MapProposal proposal = state.pendingVote().get().proposal();
        long limit = proposal.step() - 1;
        if (requestedStep <= limit) {
            return persist(state.withPermittedStep(requestedStep));
        }
        RankState next = state.withPermittedStep(limit);
        return new Transition(next, List.of(new RankAction.PersistState(next), new RankAction.RequestVotes(proposal)));
    }

    private static Transition unchanged(RankState state) {
        return new Transition(state, List.of());
    }

    private static Transition persist(RankState state) {
        return new Transition(state, List.of(new RankAction.PersistState(state)));
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

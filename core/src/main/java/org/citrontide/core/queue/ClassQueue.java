package org.citrontide.core.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting requests of one urgency class, shared among teams by start-time fair queueing.
 *
 * <p>Invariants: a team is in both orders exactly while it has waiting requests; its start tag never decreases, so a
 * team gains no credit from idle time. Idle teams are removed. Not thread-safe.
 */
final class ClassQueue {
    /** Number of waiting requests. */
    int size;

    /** Credit towards the guaranteed share, in hundredths of the cost unit. */
    long guaranteeCredit;

    private final Map<String, TeamQueue> teams = new HashMap<>();
    private final TreeSet<TeamQueue> byStart = new TreeSet<>(
            Comparator.comparingDouble((TeamQueue t) -> t.startTag).thenComparing(t -> t.name));
    private final TreeSet<TeamQueue> byWeightedCost = new TreeSet<>(
            Comparator.comparingDouble((TeamQueue t) -> t.weightedCost).thenComparing(t -> t.name));
    private double virtualTime;

    void add(QueuedRequest request, QueueShares shares) {
        TeamQueue team = teams.computeIfAbsent(request.team(), n -> new TeamQueue(n, virtualTime));
        removeFromOrders(team);
        if (team.waiting.isEmpty()) {
            team.startTag = Math.max(team.startTag, virtualTime);
        }
        team.waiting.put(request.id(), request);
        team.cost += request.cost();
        addToOrders(team, shares);
        size++;
    }

    QueuedRequest serveNext(QueueShares shares) {
        TeamQueue team = byStart.first();
        virtualTime = Math.max(virtualTime, team.startTag);
        QueuedRequest request = team.waiting.firstEntry().getValue();
        removeFromOrders(team);
        team.startTag += (double) request.cost() / shares.weight(team.name);
        removeRequest(team, request, shares);
        return request;
    }

    void remove(QueuedRequest request, QueueShares shares) {
        TeamQueue team = teams.get(request.team());
        removeFromOrders(team);
        removeRequest(team, request, shares);
    }

    int nextCost() {
        return byStart.first().waiting.firstEntry().getValue().cost();
    }

    QueuedRequest newestOfHeaviestTeam() {
        return byWeightedCost.last().waiting.lastEntry().getValue();
    }

    private void removeRequest(TeamQueue team, QueuedRequest request, QueueShares shares) {
        team.waiting.remove(request.id());
        team.cost -= request.cost();
        size--;
        addToOrders(team, shares);
        if (team.waiting.isEmpty() && team.startTag <= virtualTime) {
            teams.remove(team.name);
        }
        if (size == 0) {
            teams.clear();
            virtualTime = 0;
        }
    }

    private void removeFromOrders(TeamQueue team) {
        byStart.remove(team);
        byWeightedCost.remove(team);
    }

    private void addToOrders(TeamQueue team, QueueShares shares) {
        team.weightedCost = (double) team.cost / shares.weight(team.name);
        if (!team.waiting.isEmpty()) {
            byStart.add(team);
            byWeightedCost.add(team);
        }
    }

    private static final class TeamQueue {
        private final String name;
        private final LinkedHashMap<Long, QueuedRequest> waiting = new LinkedHashMap<>();
        private double startTag;
        private double weightedCost;
        private long cost;

        private TeamQueue(String name, double startTag) {
            this.name = name;
            this.startTag = startTag;
        }
    }
}

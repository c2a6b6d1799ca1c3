package org.citrontide.core.queue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * The waiting requests of one urgency class, shared among teams by start-time fair queueing.
 *
 * <p>Invariants: a team stands in both orders exactly while it has waiting requests; its start tag never falls, so a
 * team that was idle gains no credit for it. Idle teams are forgotten. Not thread-safe.
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

    void add(Waiting w, QueueShares shares) {
        TeamQueue t = teams.computeIfAbsent(w.team(), n -> new TeamQueue(n, virtualTime));
        leaveOrders(t);
        if (t.waiting.isEmpty()) {
            t.startTag = Math.max(t.startTag, virtualTime);
        }
        t.waiting.put(w.id(), w);
        t.cost += w.cost();
        enterOrders(t, shares);
        size++;
    }

    Waiting serveNext(QueueShares shares) {
        TeamQueue t = byStart.first();
        virtualTime = Math.max(virtualTime, t.startTag);
        Waiting w = t.waiting.firstEntry().getValue();
        leaveOrders(t);
        t.startTag += (double) w.cost() / shares.weight(t.name);
        take(t, w, shares);
        return w;
    }

    void remove(Waiting w, QueueShares shares) {
        TeamQueue t = teams.get(w.team());
        leaveOrders(t);
        take(t, w, shares);
    }

    int nextCost() {
        return byStart.first().waiting.firstEntry().getValue().cost();
    }

    Waiting newestOfHeaviestTeam() {
        return byWeightedCost.last().waiting.lastEntry().getValue();
    }

    private void take(TeamQueue t, Waiting w, QueueShares shares) {
        t.waiting.remove(w.id());
        t.cost -= w.cost();
        size--;
        enterOrders(t, shares);
        if (t.waiting.isEmpty() && t.startTag <= virtualTime) {
            teams.remove(t.name);
        }
        if (size == 0) {
            teams.clear();
            virtualTime = 0;
        }
    }

    private void leaveOrders(TeamQueue t) {
        byStart.remove(t);
        byWeightedCost.remove(t);
    }

    private void enterOrders(TeamQueue t, QueueShares shares) {
        t.weightedCost = (double) t.cost / shares.weight(t.name);
        if (!t.waiting.isEmpty()) {
            byStart.add(t);
            byWeightedCost.add(t);
        }
    }

    private static final class TeamQueue {
        private final String name;
        private final LinkedHashMap<Long, Waiting> waiting = new LinkedHashMap<>();
        private double startTag;
        private double weightedCost;
        private long cost;

        private TeamQueue(String name, double startTag) {
            this.name = name;
            this.startTag = startTag;
        }
    }
}

package org.citrontide.core.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.publication.Urgency;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks order, shares and evictions of the queue. */
final class SidecarQueueTest {
    private static final Map<Urgency, Integer> PERCENT = Map.of(Urgency.DAILY, 15, Urgency.OVERNIGHT, 5);

    private long nextId = 1;

    @Test
    void urgentWorkGoesFirst() {
        SidecarQueue q = queue(10);
        q.offer(waiting(Urgency.OVERNIGHT, "a", 1));
        q.offer(waiting(Urgency.LIVE, "a", 1));
        assertEquals(Urgency.LIVE, q.take().orElseThrow().urgency());
    }

    @Test
    void lowerClassesKeepTheirGuaranteedShareOfTheCostServed() {
        SidecarQueue q = queue(300);
        Map<Urgency, Integer> served = new HashMap<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            for (Urgency u : Urgency.values()) {
                q.offer(waiting(u, "a", 1 + random.nextInt(100)));
            }
            Waiting w = q.take().orElseThrow();
            served.merge(w.urgency(), w.cost(), Integer::sum);
        }
        double all = served.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(served.get(Urgency.DAILY) / all > 0.95 * 0.15, served.toString());
        assertTrue(served.get(Urgency.OVERNIGHT) / all > 0.95 * 0.05, served.toString());
        assertTrue(served.get(Urgency.LIVE) / all > 0.75, served.toString());
    }

    @Test
    void teamsShareCostAndNotRequests() {
        SidecarQueue q = queue(1000);
        for (int i = 0; i < 400; i++) {
            q.offer(waiting(Urgency.LIVE, "large", 100));
            q.offer(waiting(Urgency.LIVE, "small", 10));
        }
        Map<String, Integer> cost = new HashMap<>();
        for (int i = 0; i < 220; i++) {
            Waiting w = q.take().orElseThrow();
            cost.merge(w.team(), w.cost(), Integer::sum);
        }
        assertEquals(1.0, (double) cost.get("large") / cost.get("small"), 0.1);
    }

    @Test
    void fullQueueEvictsTheLeastUrgentWorkOfTheHeaviestTeam() {
        SidecarQueue q = queue(4);
        q.offer(waiting(Urgency.OVERNIGHT, "small", 1));
        q.offer(waiting(Urgency.OVERNIGHT, "large", 50));
        Waiting newest = waiting(Urgency.OVERNIGHT, "large", 50);
        q.offer(newest);
        q.offer(waiting(Urgency.LIVE, "small", 1));
        assertEquals(Optional.of(newest), q.offer(waiting(Urgency.LIVE, "small", 1)));
    }

    @Test
    void urgentFloodLeavesReservedPlacesToLowerClasses() {
        SidecarQueue q = queue(100);
        for (int i = 0; i < 20; i++) {
            q.offer(waiting(Urgency.DAILY, "a", 1));
            q.offer(waiting(Urgency.OVERNIGHT, "a", 1));
        }
        for (int i = 0; i < 500; i++) {
            q.offer(waiting(Urgency.LIVE, "a", 1));
        }
        assertEquals(15, q.size(Urgency.DAILY));
        assertEquals(5, q.size(Urgency.OVERNIGHT));
        assertEquals(100, q.size());
    }

    @Test
    void bookkeepingHoldsUnderRandomUse() {
        SidecarQueue q = queue(20);
        SplittableRandom random = new SplittableRandom(7);
        Map<Long, Waiting> expected = new HashMap<>();
        for (int i = 0; i < 50_000; i++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    Waiting w = waiting(
                            Urgency.values()[random.nextInt(3)], "t" + random.nextInt(5), 1 + random.nextInt(9));
                    expected.put(w.id(), w);
                    q.offer(w).ifPresent(v -> expected.remove(v.id()));
                }
                case 2 -> q.take().ifPresent(w -> assertEquals(w, expected.remove(w.id())));
                default -> {
                    long id = random.nextLong(nextId);
                    assertEquals(Optional.ofNullable(expected.remove(id)), q.remove(id));
                }
            }
            assertEquals(expected.size(), q.size());
            assertEquals(expected.values().stream().mapToLong(Waiting::cost).sum(), q.waitingCost());
        }
    }

    private SidecarQueue queue(int capacity) {
        return new SidecarQueue(new QueueShares(capacity, PERCENT, Map.of()));
    }

    private Waiting waiting(Urgency u, String team, int cost) {
        return new Waiting(nextId++, u, team, cost, Long.MAX_VALUE);
    }
}

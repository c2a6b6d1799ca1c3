package org.citrontide.core.queue;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.citrontide.core.publication.Urgency;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests service order, fair shares and evictions of the queue. */
final class SidecarQueueTest {
    private static final Map<Urgency, Integer> PERCENT = Map.of(Urgency.DAILY, 15, Urgency.OVERNIGHT, 5);

    private long nextId = 1;

    @Test
    void urgentRequestsAreServedFirst() {
        SidecarQueue q = queue(10);
        q.offer(queuedRequest(Urgency.OVERNIGHT, "a", 1));
        q.offer(queuedRequest(Urgency.LIVE, "a", 1));
        assertEquals(Urgency.LIVE, q.take().orElseThrow().urgency());
    }

    @Test
    void lowerClassesKeepTheirGuaranteedShareOfCostServed() {
        SidecarQueue q = queue(300);
        Map<Urgency, Integer> served = new HashMap<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 20_000; i++) {
            for (Urgency u : Urgency.values()) {
                q.offer(queuedRequest(u, "a", 1 + random.nextInt(100)));
            }
            QueuedRequest request = q.take().orElseThrow();
            served.merge(request.urgency(), request.cost(), Integer::sum);
        }
        double all = served.values().stream().mapToInt(Integer::intValue).sum();
        assertTrue(served.get(Urgency.DAILY) / all > 0.95 * 0.15, served.toString());
        assertTrue(served.get(Urgency.OVERNIGHT) / all > 0.95 * 0.05, served.toString());
        assertTrue(served.get(Urgency.LIVE) / all > 0.75, served.toString());
    }

    @Test
    void teamsShareCostRatherThanRequestCount() {
        SidecarQueue q = queue(1000);
        for (int i = 0; i < 400; i++) {
            q.offer(queuedRequest(Urgency.LIVE, "large", 100));
            q.offer(queuedRequest(Urgency.LIVE, "small", 10));
        }
        Map<String, Integer> cost = new HashMap<>();
        for (int i = 0; i < 220; i++) {
            QueuedRequest request = q.take().orElseThrow();
            cost.merge(request.team(), request.cost(), Integer::sum);
        }
        assertEquals(1.0, (double) cost.get("large") / cost.get("small"), 0.1);
    }

    @Test
    void fullQueueEvictsLeastUrgentRequestOfHeaviestTeam() {
        SidecarQueue q = queue(4);
        q.offer(queuedRequest(Urgency.OVERNIGHT, "small", 1));
        q.offer(queuedRequest(Urgency.OVERNIGHT, "large", 50));
        QueuedRequest newest = queuedRequest(Urgency.OVERNIGHT, "large", 50);
        q.offer(newest);
        q.offer(queuedRequest(Urgency.LIVE, "small", 1));
        assertEquals(Optional.of(newest), q.offer(queuedRequest(Urgency.LIVE, "small", 1)));
    }

    @Test
    void liveOverloadLeavesReservedCapacityToLowerClasses() {
        SidecarQueue q = queue(100);
        for (int i = 0; i < 20; i++) {
            q.offer(queuedRequest(Urgency.DAILY, "a", 1));
            q.offer(queuedRequest(Urgency.OVERNIGHT, "a", 1));
        }
        for (int i = 0; i < 500; i++) {
            q.offer(queuedRequest(Urgency.LIVE, "a", 1));
        }
        assertEquals(15, q.size(Urgency.DAILY));
        assertEquals(5, q.size(Urgency.OVERNIGHT));
        assertEquals(100, q.size());
    }

    @Test
    void sizeAndCostMatchModelUnderRandomOperations() {
        SidecarQueue q = queue(20);
        SplittableRandom random = new SplittableRandom(7);
        Map<Long, QueuedRequest> expected = new HashMap<>();
        for (int i = 0; i < 50_000; i++) {
            switch (random.nextInt(4)) {
                case 0, 1 -> {
                    QueuedRequest request = queuedRequest(
                            Urgency.values()[random.nextInt(3)], "t" + random.nextInt(5), 1 + random.nextInt(9));
                    expected.put(request.id(), request);
                    q.offer(request).ifPresent(v -> expected.remove(v.id()));
                }
                case 2 -> q.take().ifPresent(w -> assertEquals(w, expected.remove(w.id())));
                default -> {
                    long id = random.nextLong(nextId);
                    assertEquals(Optional.ofNullable(expected.remove(id)), q.remove(id));
                }
            }
            assertEquals(expected.size(), q.size());
            assertEquals(
                    expected.values().stream().mapToLong(QueuedRequest::cost).sum(), q.waitingCost());
        }
    }

    private SidecarQueue queue(int capacity) {
        return new SidecarQueue(new QueueShares(capacity, PERCENT, Map.of()));
    }

    private QueuedRequest queuedRequest(Urgency u, String team, int cost) {
        return new QueuedRequest(nextId++, u, team, cost, Long.MAX_VALUE);
    }
}

package org.citrontide.core.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.citrontide.core.memory.MemoryAccount;
import org.citrontide.core.memory.MemoryBounds;
import org.citrontide.core.memory.MemoryHolder;
import org.citrontide.core.memory.MemoryLedger;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class ResponseMemoryTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 500;
    private static final long LIMIT = 1000;

    @Test
    void dropsTheLargestResponseWhenTheLimitIsPassed() {
        ResponseMemory memory = new ResponseMemory(LIMIT);
        assertEquals(List.of(), memory.add(1, 300));
        assertEquals(List.of(), memory.add(2, 600));
        assertEquals(List.of(), memory.add(3, 100));
        assertEquals(List.of(2L), memory.add(1, 1));
        assertEquals(401, memory.usedBytes());
        assertEquals(List.of(4L), memory.add(4, 5000));
        assertEquals(401, memory.usedBytes());
    }

    // Guards against responses that are still counted after their attempt, or never were.
    @Test
    void staysWithinTheLimitAndReturnsToZero() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ResponseMemory memory = new ResponseMemory(LIMIT);
            Map<Long, Long> kept = new HashMap<>();
            for (int step = 0; step < STEPS; step++) {
                long attempt = random.nextLong(20);
                if (random.nextInt(5) == 0) {
                    memory.remove(attempt);
                    kept.remove(attempt);
                } else {
                    int bytes = random.nextInt(300);
                    kept.merge(attempt, (long) bytes, Long::sum);
                    memory.add(attempt, bytes).forEach(kept::remove);
                }
                long sum = kept.values().stream().mapToLong(b -> b).sum();
                assertEquals(sum, memory.usedBytes(), "seed " + seed);
                assertTrue(sum <= LIMIT, "seed " + seed);
            }
            List.copyOf(kept.keySet()).forEach(memory::remove);
            assertEquals(0, memory.usedBytes(), "seed " + seed);
        }
    }

    // Guards against responses that the ledger doesn't count, and against one that it refuses but that is kept.
    @Test
    void countsInTheLedgerAndDropsWhatTheLedgerRefuses() {
        MemoryLedger ledger = new MemoryLedger(MemoryBounds.of(1000, LIMIT, 1000));
        ResponseMemory memory = new ResponseMemory(LIMIT, ledger, () -> 0);
        List<Long> refused = new ArrayList<>();
        memory.setRefusalListener(refused::add);
        assertEquals(List.of(), memory.add(1, 600));
        assertEquals(600, ledger.usedBytes(MemoryHolder.RESPONSES));
        MemoryAccount output = ledger.open(bound -> {});
        ledger.add(output, MemoryHolder.RESPONSES, 500, 0)
                .forEach(r -> r.account().owner().memoryRefused(r.bound()));
        assertEquals(List.of(1L), refused);
        assertEquals(0, memory.usedBytes());
        memory.add(2, 300);
        memory.remove(2);
        assertEquals(500, ledger.usedBytes());
    }
}

package org.citrontide.core.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the ledger in virtual time. */
final class MemoryLedgerTest {
    private static final int SEEDS = 200;
    private static final int STEPS = 600;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final MemoryBounds BOUNDS =
            new MemoryBounds(10_000, shares(6000, 3000, 7000, 7000, 7000, 3000), 6000, 100, 2000);

    private final MemoryLedger ledger = new MemoryLedger(BOUNDS);

    /** Shares of the holders; the first value applies to holders that the others don't name. */
    private static Map<MemoryHolder, Long> shares(long... bytes) {
        Map<MemoryHolder, Long> shares = new EnumMap<>(MemoryHolder.class);
        for (MemoryHolder h : MemoryHolder.values()) {
            shares.put(h, h.ordinal() + 1 < bytes.length ? bytes[h.ordinal() + 1] : bytes[0]);
        }
        return shares;
    }

    private MemoryAccount open() {
        return open(ledger);
    }

    private static MemoryAccount open(MemoryLedger ledger) {
        return ledger.open(bound -> {});
    }

    // Guards against a holder that is not counted, or counted for another one: its share and the total would not hold.
    @ParameterizedTest
    @EnumSource(MemoryHolder.class)
    void everyHolderCountsAgainstItsShareAndTheTotal(MemoryHolder holder) {
        long share = BOUNDS.share(holder);
        List<MemoryRefusal> refusals = new ArrayList<>();
        for (long used = 0; used <= share; used += 100) {
            refusals.addAll(ledger.add(open(), holder, 100, SECOND));
            assertTrue(ledger.usedBytes(holder) <= share);
            assertEquals(ledger.usedBytes(), ledger.usedBytes(holder));
        }
        assertEquals(1, refusals.size());
        assertEquals(MemoryBound.SHARE, refusals.getFirst().bound());
        assertTrue(refusals.getFirst().account().isClosed());
    }

    // Guards against memory that is still counted after its end, never counted, or beyond a bound after any sequence.
    @Test
    void boundsHoldForAnyOrderAndTheLedgerReturnsToZero() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            MemoryLedger checked = new MemoryLedger(BOUNDS);
            Map<MemoryAccount, Map<MemoryHolder, Long>> expected = new HashMap<>();
            List<MemoryAccount> accounts = new ArrayList<>();
            long now = 0;
            for (int step = 0; step < STEPS; step++) {
                now += random.nextLong(SECOND);
                if (accounts.size() < 30) {
                    accounts.add(open(checked));
                    expected.put(accounts.getLast(), new EnumMap<>(MemoryHolder.class));
                }
                MemoryAccount account = accounts.get(random.nextInt(accounts.size()));
                change(checked, account, expected, random, now).forEach(r -> expected.remove(r.account()));
                accounts.removeIf(a -> !expected.containsKey(a));
                check(checked, expected, "seed " + seed + " step " + step);
            }
            accounts.forEach(checked::close);
            assertEquals(0, checked.usedBytes() + checked.largeBytes(), "seed " + seed);
            for (MemoryHolder h : MemoryHolder.values()) {
                assertEquals(0, checked.usedBytes(h), "seed " + seed);
            }
        }
    }

    private static List<MemoryRefusal> change(
            MemoryLedger ledger,
            MemoryAccount account,
            Map<MemoryAccount, Map<MemoryHolder, Long>> expected,
            SplittableRandom random,
            long now) {
        MemoryHolder holder = MemoryHolder.values()[random.nextInt(MemoryHolder.values().length)];
        Map<MemoryHolder, Long> held = expected.get(account);
        switch (random.nextInt(8)) {
            case 0 -> {
                ledger.close(account);
                expected.remove(account);
                return List.of();
            }
            case 1 -> {
                long bytes = random.nextLong(held.getOrDefault(holder, 0L) + 1);
                held.merge(holder, -bytes, Long::sum);
                ledger.remove(account, holder, bytes);
                return List.of();
            }
            case 2 -> {
                MemoryHolder to = MemoryHolder.values()[random.nextInt(MemoryHolder.values().length)];
                long bytes = random.nextLong(held.getOrDefault(holder, 0L) + 1);
                held.merge(holder, -bytes, Long::sum);
                held.merge(to, bytes, Long::sum);
                return ledger.move(account, holder, to, bytes, now);
            }
            default -> {
                long bytes = random.nextInt(4) == 0 ? random.nextLong(8000) : random.nextLong(200);
                held.merge(holder, bytes, Long::sum);
                return ledger.add(account, holder, bytes, now);
            }
        }
    }

    private static void check(
            MemoryLedger ledger, Map<MemoryAccount, Map<MemoryHolder, Long>> expected, String message) {
        long total = 0;
        long large = 0;
        Map<MemoryHolder, Long> byHolder = new EnumMap<>(MemoryHolder.class);
        for (Map<MemoryHolder, Long> held : expected.values()) {
            long sum = held.values().stream().mapToLong(b -> b).sum();
            held.forEach((h, b) -> byHolder.merge(h, b, Long::sum));
            total += sum;
            large += sum > BOUNDS.smallBytes() ? sum : 0;
            assertTrue(sum <= BOUNDS.accountBytes(), message);
        }
        assertEquals(total, ledger.usedBytes(), message);
        assertTrue(total <= BOUNDS.totalBytes(), message);
        assertTrue(large <= BOUNDS.totalBytes() - BOUNDS.reserveBytes(), message);
        for (MemoryHolder h : MemoryHolder.values()) {
            assertEquals(byHolder.getOrDefault(h, 0L), ledger.usedBytes(h), message);
            assertTrue(ledger.usedBytes(h) <= BOUNDS.share(h), message);
        }
    }

    // Guards against large requests that take the memory of small ones, complete ones included.
    @Test
    void smallRequestsKeepTheirReserve() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            MemoryLedger full = new MemoryLedger(BOUNDS);
            for (int i = 0; i < 300; i++) {
                MemoryHolder holder = random.nextBoolean() ? MemoryHolder.WAITING_REQUESTS : MemoryHolder.RESPONSES;
                full.add(open(full), holder, 101 + random.nextLong(3000), i);
            }
            for (int i = 0; i < BOUNDS.reserveBytes() / BOUNDS.smallBytes(); i++) {
                List<MemoryRefusal> refusals =
                        full.add(open(full), MemoryHolder.CALLER_HEADS, BOUNDS.smallBytes(), SECOND);
                assertEquals(List.of(), refusals, "seed " + seed);
            }
        }
    }

    // Guards against one connection that takes all memory.
    @Test
    void oneAccountIsRefusedAtItsOwnBound() {
        MemoryAccount account = open();
        assertEquals(List.of(), ledger.add(account, MemoryHolder.CALLER_BODIES, 5000, 0));
        List<MemoryRefusal> refusals = ledger.add(account, MemoryHolder.WAITING_REQUESTS, 1001, 0);
        assertEquals(List.of(new MemoryRefusal(account, MemoryBound.ACCOUNT)), refusals);
        assertEquals(0, ledger.usedBytes());
    }

    // Guards against a bound that refuses those who have just begun, or that are small, instead of those who fill it.
    @Test
    void theLargestAndSlowestUnfinishedAccountIsRefusedFirst() {
        MemoryAccount complete = open();
        MemoryAccount slow = open();
        MemoryAccount large = open();
        MemoryAccount small = open();
        ledger.add(complete, MemoryHolder.WAITING_REQUESTS, 2000, 0);
        ledger.add(slow, MemoryHolder.CALLER_BODIES, 2000, 0);
        ledger.add(large, MemoryHolder.CALLER_BODIES, 3000, 4 * SECOND);
        ledger.add(small, MemoryHolder.CALLER_BODIES, 90, 0);
        List<MemoryAccount> refused = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            MemoryAccount next = open();
            ledger.add(next, MemoryHolder.CALLER_BODIES, 2800, 5 * SECOND).forEach(r -> refused.add(r.account()));
        }
        assertEquals(List.of(slow, large), refused);
        assertFalse(small.isClosed() || complete.isClosed());
    }

    // Guards against complete requests, which may have run, that are refused when only they fill a bound.
    @Test
    void completeRequestsAreNotRefusedForOthers() {
        MemoryAccount complete = open();
        ledger.add(complete, MemoryHolder.WAITING_REQUESTS, 6000, 0);
        MemoryAccount next = open();
        ledger.add(next, MemoryHolder.CALLER_BODIES, 1500, SECOND);
        List<MemoryRefusal> refusals =
                ledger.move(next, MemoryHolder.CALLER_BODIES, MemoryHolder.WAITING_REQUESTS, 1500, SECOND);
        assertEquals(List.of(new MemoryRefusal(next, MemoryBound.SHARE)), refusals);
        assertFalse(complete.isClosed());
    }

    // Guards against pressure that pauses small requests, and against a pause that nobody ends.
    @Test
    void pressurePausesOnlyLargeAccountsAndIsRelievedByTheHeaviest() {
        MemoryAccount small = open();
        ledger.add(small, MemoryHolder.CALLER_BODIES, 100, 0);
        MemoryAccount first = open();
        ledger.add(first, MemoryHolder.CALLER_BODIES, 3500, 0);
        assertFalse(ledger.isUnderPressure(first));
        assertEquals(Optional.empty(), ledger.relieve(SECOND));
        MemoryAccount second = open();
        ledger.add(second, MemoryHolder.CALLER_BODIES, 3000, SECOND);
        assertTrue(ledger.isUnderPressure(first) && ledger.isUnderPressure(second));
        assertFalse(ledger.isUnderPressure(small));
        assertEquals(Optional.of(new MemoryRefusal(first, MemoryBound.PRESSURE)), ledger.relieve(2 * SECOND));
        assertFalse(ledger.isUnderPressure(second));
        assertEquals(Optional.empty(), ledger.relieve(2 * SECOND));
    }

    // Guards against an old response that is dropped because other callers' bodies press, which would free none of
    // them.
    @Test
    void pressureOfBodiesIsNotRelievedByAResponse() {
        MemoryAccount response = open();
        ledger.add(response, MemoryHolder.RESPONSES, 200, 0);
        MemoryAccount body = open();
        ledger.add(body, MemoryHolder.CALLER_BODIES, 3500, 100 * SECOND);
        MemoryAccount other = open();
        ledger.add(other, MemoryHolder.CALLER_BODIES, 3000, 100 * SECOND);
        assertTrue(ledger.isUnderPressure(body));
        assertEquals(Optional.of(body), ledger.relieve(101 * SECOND).map(MemoryRefusal::account));
    }

    // Guards against memory that is freed twice, which would let others pass the bound.
    @Test
    void freeingMoreThanIsCountedFailsAndAClosedAccountCountsNothing() {
        MemoryAccount account = open();
        ledger.add(account, MemoryHolder.RESPONSES, 10, 0);
        assertThrows(IllegalArgumentException.class, () -> ledger.remove(account, MemoryHolder.RESPONSES, 11));
        ledger.close(account);
        ledger.close(account);
        ledger.add(account, MemoryHolder.RESPONSES, 10, 0);
        ledger.remove(account, MemoryHolder.RESPONSES, 5);
        assertEquals(0, ledger.usedBytes());
    }

    // Guards against a default with which a single body of 4 MiB doesn't fit.
    @Test
    void theLargestBodyAndHeadFitIntoOneAccountOfAnEmptyLedger() {
        MemoryLedger calm = new MemoryLedger(MemoryBounds.of(8 << 20, 8 << 20, 1 << 20));
        MemoryAccount account = open(calm);
        // A body of 4 MiB with its last segment, and a head of 4,000 lines.
        long bytes = (4 << 20) + (32 << 10) + 4000 * 400;
        assertEquals(List.of(), calm.add(account, MemoryHolder.CALLER_BODIES, bytes, 0));
        assertFalse(calm.isUnderPressure(account));
        assertEquals(
                List.of(), calm.move(account, MemoryHolder.CALLER_BODIES, MemoryHolder.WAITING_REQUESTS, bytes, 0));
    }
}

package org.citrontide.core.capacity;

import java.util.Map;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against limits on late requests that together leave the share of the slots unused or exceed it. */
final class LateRequestLimitTest {
    private static final long MS = 1_000_000;
    private static final int TURNS = 1000;

    private static LateRequestLimit create(int index, int gateways, int slots) {
        LateRequestLimit limit = new LateRequestLimit();
        limit.setSlots(Map.of("s", slots));
        limit.setGateways(index, gateways, -12_345 * MS);
        return limit;
    }

    @ParameterizedTest
    @CsvSource({"8, 128, 16", "39, 576, 72", "17, 504, 63", "46, 441, 55.125", "46, 63, 46", "1, 24, 3"})
    void theLimitsOfAllGatewaysAddUpToTheShareAtAnyMoment(int gateways, int slots, double expected) {
        for (int turn = 0; turn < TURNS; turn++) {
            long nowNanos = turn * 200 * MS;
            int sum = 0;
            for (int g = 0; g < gateways; g++) {
                sum += create(g, gateways, slots).limit("s", 0, nowNanos);
            }
            assertEquals(expected, sum, 1, "turn " + turn);
        }
    }

    @ParameterizedTest
    @CsvSource({"46, 441, 1.198", "39, 576, 1.846", "17, 504, 3.706", "8, 128, 2", "46, 63, 1"})
    void eachGatewayHasItsShareInTime(int gateways, int slots, double expected) {
        for (int g = 0; g < gateways; g++) {
            LateRequestLimit limit = create(g, gateways, slots);
            double sum = 0;
            for (int turn = 0; turn < TURNS; turn++) {
                sum += limit.limit("s", 0, turn * 200 * MS);
            }
            assertEquals(expected, sum / TURNS, 0.02, "gateway " + g);
        }
    }

    @Test
    void aGatewayThatUsesMostOfItsSlotsKeepsTheDefaultLimit() {
        LateRequestLimit limit = create(0, 17, 504);
        assertTrue(limit.limit("s", 0, 0) > LateRequestLimit.DEFAULT_LIMIT);
        assertEquals(LateRequestLimit.DEFAULT_LIMIT, limit.limit("s", 28, 0));
        assertTrue(create(0, 46, 441).limit("s", 28, 0) <= LateRequestLimit.DEFAULT_LIMIT);
    }

    @Test
    void withoutSlotsOrGatewaysTheLimitIsFixed() {
        LateRequestLimit limit = new LateRequestLimit();
        assertEquals(LateRequestLimit.DEFAULT_LIMIT, limit.limit("s", 0, 0));
        limit.setSlots(Map.of("s", 5040));
        assertEquals(LateRequestLimit.DEFAULT_LIMIT, limit.limit("s", 0, 0));
        limit.setGateways(0, 17, 0);
        assertEquals(LateRequestLimit.DEFAULT_LIMIT, limit.limit("other", 0, 0));
        assertTrue(limit.limit("s", 0, 0) > LateRequestLimit.DEFAULT_LIMIT);
    }
}

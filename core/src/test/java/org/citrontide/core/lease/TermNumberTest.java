package org.citrontide.core.lease;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests that terms are numbered upwards through returns of the store from older copies. */
final class TermNumberTest {
    private static final int RETURNS = 500;
    private static final int TERMS_PER_ERA = 20;
    private static final int MAX_REVISIONS_BETWEEN_TERMS = 100_000;

    /** Guards against two terms of the same number after revisions were given out again. */
    @Test
    void everyTermHasAHigherNumberThanTheOneBefore() {
        for (long seed = 1; seed <= 20; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            long revision = 1;
            long last = 0;
            long firstEra = random.nextLong(TermNumber.ERAS - RETURNS);
            for (long era = firstEra; era < firstEra + RETURNS; era++) {
                for (int i = 0; i < TERMS_PER_ERA; i++) {
                    revision += 1 + random.nextInt(MAX_REVISIONS_BETWEEN_TERMS);
                    long term = TermNumber.of(era, revision);
                    assertTrue(term > last, "seed " + seed + ": term " + term + " after " + last);
                    last = term;
                }
                revision -= random.nextLong(Math.min(revision, TermNumber.REVISIONS_PER_ERA));
            }
        }
    }

    @Test
    void theNumberIsTheRevisionIfTheStoreNamesNoEra() {
        assertEquals(157, TermNumber.of(0, 157));
    }

    @Test
    void anyEraLeavesRoomForAMillionVersionsOfMaps() {
        assertTrue(Math.multiplyExact(TermNumber.of(Long.MAX_VALUE, 1), 1_000_000L) > 0);
        assertTrue(Math.multiplyExact(TermNumber.of(TermNumber.ERAS - 1, 1), 1_000_000L) > 0);
    }
}

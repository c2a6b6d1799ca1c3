package org.citrontide.core.lease;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that the validity of a lease ends before the store expires it. */
final class LeaseValidityTest {
    private static final long MS = 1_000_000;

    private final LeaseValidity lease = new LeaseValidity(Duration.ofMillis(2000));

    @Test
    void aLeaseIsInvalidBeforeItIsGranted() {
        lease.recordRequest(0, 0);
        assertFalse(lease.isValid(1, 1));
    }

    @Test
    void theValidityIsMeasuredFromBeforeTheRequest() {
        lease.recordRequest(100 * MS, 100);
        lease.recordGrant();
        assertTrue(lease.isValid(1799 * MS, 1799));
        assertFalse(lease.isValid(1800 * MS, 1799));
    }

    @Test
    void aSuspendedMachineLosesTheLeaseByTheWallClock() {
        lease.recordRequest(0, 0);
        lease.recordGrant();
        assertFalse(lease.isValid(10 * MS, 5000), "the monotonic clock stopped for five seconds");
    }

    @Test
    void aRenewalWithoutAResponseDoesNotExtendTheValidity() {
        lease.recordRequest(0, 0);
        lease.recordGrant();
        lease.recordRequest(1000 * MS, 1000);
        assertFalse(lease.isValid(1900 * MS, 1900));
        lease.recordGrant();
        assertTrue(lease.isValid(1900 * MS, 1900));
    }
}

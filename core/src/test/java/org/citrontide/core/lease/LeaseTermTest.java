package org.citrontide.core.lease;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that a lease is relied on for less time than the store keeps it. */
final class LeaseTermTest {
    private static final long MS = 1_000_000;

    private final LeaseTerm lease = new LeaseTerm(Duration.ofMillis(2000));

    @Test
    void nothingIsValidBeforeAGrant() {
        lease.asked(0, 0);
        assertFalse(lease.isValid(1, 1));
    }

    @Test
    void timeCountsFromBeforeTheCall() {
        lease.asked(100 * MS, 100);
        lease.granted();
        assertTrue(lease.isValid(1799 * MS, 1799));
        assertFalse(lease.isValid(1800 * MS, 1799));
    }

    @Test
    void aSuspendedMachineLosesTheLeaseByTheTimeOfDay() {
        lease.asked(0, 0);
        lease.granted();
        assertFalse(lease.isValid(10 * MS, 5000), "the monotonic clock stood still for five seconds");
    }

    @Test
    void aRenewalThatIsNotAnsweredExtendsNothing() {
        lease.asked(0, 0);
        lease.granted();
        lease.asked(1000 * MS, 1000);
        assertFalse(lease.isValid(1900 * MS, 1900));
        lease.granted();
        assertTrue(lease.isValid(1900 * MS, 1900));
    }
}

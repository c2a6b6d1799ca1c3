package org.citrontide.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that all gateways together stay within the slack. */
final class RetrySlackShareTest {

    @Test
    void theSharesOfManyGatewaysAddUpToTheSlack() {
        RetrySlackShare share = new RetrySlackShare(198);
        share.setGatewayCount(33);
        assertEquals(198, 33 * share.retriesPerWindow(), 1e-9);
    }

    @Test
    void aCountThatIsTooLowGivesNoLargerShare() {
        RetrySlackShare share = new RetrySlackShare(96);
        share.setGatewayCount(12);
        double before = share.retriesPerWindow();
        share.setGatewayCount(1);
        assertEquals(before, share.retriesPerWindow());
        assertTrue(before > 0 && before <= 96.0 / 8, "eight gateways that count only one stay within the slack");
    }

    @Test
    void anUnknownNumberOfGatewaysGivesNoShare() {
        assertEquals(0, new RetrySlackShare(96).retriesPerWindow());
    }
}

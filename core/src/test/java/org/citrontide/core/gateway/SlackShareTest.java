package org.citrontide.core.gateway;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that gateways together stay within the slack. */
final class SlackShareTest {

    @Test
    void thePartsOfManyGatewaysAddUpToTheWhole() {
        SlackShare share = new SlackShare(198);
        share.gateways(33);
        assertEquals(198, 33 * share.part(), 1e-9);
    }

    @Test
    void aCountThatIsTooLowGivesNoLargerPart() {
        SlackShare share = new SlackShare(96);
        double before = share.part();
        share.gateways(1);
        assertEquals(before, share.part());
        assertTrue(before <= 96.0 / 8, "eight gateways of which one is counted stay within the whole");
    }
}

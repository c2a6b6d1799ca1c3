package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.AttemptOutcome.Rejected.Cause;
import org.citrontide.platform.PlatformHeaders;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests the outcomes derived from the heads of responses. */
final class ResponseClassifierTest {

    @Test
    void aMisdirectedRequestDoesNotIndicateABrokenGroup() {
        assertEquals(rejected(Cause.MISDIRECTED), ResponseClassifier.classify(head(421, true)));
        assertEquals(rejected(Cause.MISDIRECTED), ResponseClassifier.classify(head(421, false)));
    }

    @Test
    void aRejectionThatNamesAFaultyMemberIndicatesABrokenGroup() {
        assertEquals(rejected(Cause.GROUP_BROKEN), ResponseClassifier.classify(head(503, true)));
        assertEquals(rejected(Cause.FULL), ResponseClassifier.classify(head(503, false)));
    }

    private static AttemptOutcome rejected(Cause cause) {
        return new AttemptOutcome.Rejected(cause);
    }

    private static ResponseHead head(int status, boolean namesFaultyMember) {
        HttpHeaders headers = new DefaultHttpHeaders().set(PlatformHeaders.NOT_RUN, "1");
        if (namesFaultyMember) {
            headers.set(PlatformHeaders.FAULTY_MEMBER, "i-1");
        }
        return new ResponseHead(status, headers);
    }
}

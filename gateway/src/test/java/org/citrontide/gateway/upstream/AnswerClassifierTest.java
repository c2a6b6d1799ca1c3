package org.citrontide.gateway.upstream;

import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.AttemptOutcome.Rejected.Cause;
import org.citrontide.platform.PlatformHeaders;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Checks what is concluded from heads of answers. */
final class AnswerClassifierTest {

    @Test
    void anAddressThatBelongsToAnotherUpstreamSaysNothingOfAGroup() {
        assertEquals(rejected(Cause.MISDIRECTED), AnswerClassifier.classify(head(421, true)));
        assertEquals(rejected(Cause.MISDIRECTED), AnswerClassifier.classify(head(421, false)));
    }

    @Test
    void anUpstreamThatNamesAMemberAtFaultIsInABrokenGroup() {
        assertEquals(rejected(Cause.GROUP_BROKEN), AnswerClassifier.classify(head(503, true)));
        assertEquals(rejected(Cause.FULL), AnswerClassifier.classify(head(503, false)));
    }

    private static AttemptOutcome rejected(Cause cause) {
        return new AttemptOutcome.Rejected(cause, Optional.empty());
    }

    private static AnswerHead head(int status, boolean namesMember) {
        HttpHeaders headers = new DefaultHttpHeaders().set(PlatformHeaders.NOT_RUN, "1");
        if (namesMember) {
            headers.set(PlatformHeaders.FAULTY_MEMBER, "i-1");
        }
        return new AnswerHead(status, headers);
    }
}

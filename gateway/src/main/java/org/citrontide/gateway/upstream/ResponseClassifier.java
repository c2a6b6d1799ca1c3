package org.citrontide.gateway.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.AttemptOutcome.Rejected.Cause;
import org.citrontide.core.verdict.Reason;
import org.citrontide.platform.PlatformHeaders;

/** Derives the outcome of an attempt from the head of its complete response. Stateless. */
final class ResponseClassifier {
    private static final int BAD_REQUEST = 400;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;

    private ResponseClassifier() {}

    static AttemptOutcome classify(ResponseHead head) {
        HttpHeaders headers = head.headers();
        boolean isNotRun = headers.contains(PlatformHeaders.NOT_RUN) || head.status() == MISDIRECTED;
        if (isNotRun && head.status() != BAD_REQUEST) {
            return new AttemptOutcome.Rejected(cause(head));
        }
        if (!headers.contains(PlatformHeaders.RESPONSE_STAMP) && head.status() != BAD_REQUEST) {
            return new AttemptOutcome.Broken(Reason.ANSWER_BROKEN);
        }
        return head.status() >= SERVER_ERROR
                ? new AttemptOutcome.Failed(head.status())
                : new AttemptOutcome.Completed(head.status());
    }

    private static Cause cause(ResponseHead head) {
        if (head.status() == MISDIRECTED) {
            return Cause.MISDIRECTED;
        }
        return head.headers().contains(PlatformHeaders.FAULTY_MEMBER) ? Cause.GROUP_BROKEN : Cause.FULL;
    }
}

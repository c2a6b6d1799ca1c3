package org.citrontide.gateway.upstream;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.gateway.AttemptOutcome;
import org.citrontide.core.gateway.AttemptOutcome.Rejected.Cause;
import org.citrontide.core.verdict.Reason;
import org.citrontide.platform.PlatformHeaders;

/** Tells from the head of a whole answer what became of the request. Stateless. */
final class AnswerClassifier {
    private static final int BAD_REQUEST = 400;
    private static final int MISDIRECTED = 421;
    private static final int SERVER_ERROR = 500;
    private static final int MILLIS = 1000;

    private AnswerClassifier() {}

    static AttemptOutcome classify(AnswerHead head) {
        HttpHeaders h = head.headers();
        boolean notRun = h.contains(PlatformHeaders.NOT_RUN) || head.status() == MISDIRECTED;
        if (notRun && head.status() != BAD_REQUEST) {
            return new AttemptOutcome.Rejected(cause(head), retryAfterMillis(h));
        }
        if (!h.contains(PlatformHeaders.RESPONSE_STAMP) && head.status() != BAD_REQUEST) {
            return new AttemptOutcome.Broken(Reason.ANSWER_BROKEN);
        }
        return head.status() >= SERVER_ERROR
                ? new AttemptOutcome.Failed(head.status())
                : new AttemptOutcome.Completed(head.status());
    }

    private static Cause cause(AnswerHead head) {
        if (head.status() == MISDIRECTED) {
            return Cause.MISDIRECTED;
        }
        return head.headers().contains(PlatformHeaders.FAULTY_MEMBER) ? Cause.GROUP_BROKEN : Cause.FULL;
    }

    private static Optional<Long> retryAfterMillis(HttpHeaders h) {
        String v = h.get(HttpHeaderNames.RETRY_AFTER);
        if (v == null || !v.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")) {
            return Optional.empty();
        }
        return Optional.of((long) (Double.parseDouble(v) * MILLIS));
    }
}

package org.citrontide.gateway.upstream;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaderNames;
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
    private static final int MILLIS_PER_SECOND = 1000;

    private ResponseClassifier() {}

    static AttemptOutcome classify(ResponseHead head) {
        HttpHeaders headers = head.headers();
        boolean isNotRun = headers.contains(PlatformHeaders.NOT_RUN) || head.status() == MISDIRECTED;
        if (isNotRun && head.status() != BAD_REQUEST) {
            return new AttemptOutcome.Rejected(cause(head), retryAfterMillis(headers));
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

    private static Optional<Long> retryAfterMillis(HttpHeaders headers) {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER);
        if (value == null || !value.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")) {
            return Optional.empty();
        }
        return Optional.of((long) (Double.parseDouble(value) * MILLIS_PER_SECOND));
    }
}

package org.citrontide.gateway.dispatch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.platform.PlatformHeaders;

/**
 * Sends the responses that the gateway itself generates for requests that it refuses.
 *
 * <p>Invariant: 503 and 429 are sent only for requests that certainly did not run and never will; requests that may
 * have run are answered with 502 or 504. Stateless.
 */
final class Refusals {
    private static final String VERDICT_HEADER = "Citrontide-Verdict";
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double MILLIS_PER_SECOND = 1000;

    private Refusals() {}

    static void send(CallerRequest request, Verdict verdict) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        headers.set(VERDICT_HEADER, verdict.headerValue());
        String attemptId = request.headers().get(PlatformHeaders.ATTEMPT_ID);
        if (attemptId != null) {
            headers.set(PlatformHeaders.ATTEMPT_ID, attemptId);
        }
        if (verdict instanceof Verdict.NotRun notRun && status(verdict) == UNAVAILABLE) {
            headers.set(HttpHeaderNames.RETRY_AFTER, formatSeconds(notRun.retryAfter()));
        }
        String body = "{\"status\":" + status(verdict) + ",\"title\":\"" + reasonKey(verdict) + "\",\"verdict\":\""
                + verdict.headerValue() + "\"}\n";
        request.connection().sendResponse(status(verdict), headers, body.getBytes(StandardCharsets.UTF_8));
    }

    static int status(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> c.status();
            case Verdict.MayHaveRun m -> m.reason() == Reason.DEADLINE ? GATEWAY_TIMEOUT : BAD_GATEWAY;
            case Verdict.NotRun n ->
                switch (n.reason()) {
                    case BAD_REQUEST, UNAUTHENTICATED, UNKNOWN_SERVICE, BODY_TOO_LARGE, OVER_SHARE ->
                        n.reason().httpStatus();
                    default -> UNAVAILABLE;
                };
        };
    }

    static String reasonKey(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> "none";
            case Verdict.NotRun n -> n.reason().key();
            case Verdict.MayHaveRun m -> m.reason().key();
        };
    }

    private static String formatSeconds(Duration d) {
        return String.format(Locale.ROOT, "%.2f", Math.max(1, d.toMillis()) / MILLIS_PER_SECOND);
    }
}

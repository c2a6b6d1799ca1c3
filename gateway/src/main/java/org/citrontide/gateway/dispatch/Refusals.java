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
 * Writes the gateway's own answers.
 *
 * <p>Invariant: 503 and 429 are sent only for requests that certainly did not run and never will; what may have run
 * gets 502 or 504. Stateless.
 */
final class Refusals {
    private static final String VERDICT = "Citrontide-Verdict";
    private static final int UNAVAILABLE = 503;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double MILLIS = 1000;

    private Refusals() {}

    static void send(CallerRequest r, Verdict verdict) {
        HttpHeaders h = new DefaultHttpHeaders();
        h.set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
        h.set(VERDICT, verdict.headerValue());
        String attempt = r.headers().get(PlatformHeaders.ATTEMPT_ID);
        if (attempt != null) {
            h.set(PlatformHeaders.ATTEMPT_ID, attempt);
        }
        if (verdict instanceof Verdict.NotRun n && status(verdict) == UNAVAILABLE) {
            h.set(HttpHeaderNames.RETRY_AFTER, seconds(n.retryAfter()));
        }
        String body = "{\"status\":" + status(verdict) + ",\"title\":\"" + reason(verdict) + "\",\"verdict\":\""
                + verdict.headerValue() + "\"}\n";
        r.connection().answer(status(verdict), h, body.getBytes(StandardCharsets.UTF_8));
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

    static String reason(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Completed c -> "none";
            case Verdict.NotRun n -> n.reason().key();
            case Verdict.MayHaveRun m -> m.reason().key();
        };
    }

    private static String seconds(Duration d) {
        return String.format(Locale.ROOT, "%.2f", Math.max(1, d.toMillis()) / MILLIS);
    }
}

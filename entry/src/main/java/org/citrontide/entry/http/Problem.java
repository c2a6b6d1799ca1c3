package org.citrontide.entry.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.core.verdict.Reason;
import org.citrontide.core.verdict.Verdict;

/**
 * The {@code application/problem+json} body of a refusal. Immutable.
 *
 * @param status HTTP status
 * @param retryAfterSeconds delay in s before a retry, empty if a retry would not help
 * @param body the document as UTF-8 JSON
 */
record Problem(int status, Optional<Long> retryAfterSeconds, byte[] body) {
    static final String CONTENT_TYPE = "application/problem+json";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    static Problem of(Verdict verdict, String detail, String requestId) {
        return switch (verdict) {
            case Verdict.NotRun n -> build(verdict, n.reason(), n.retryAfter(), detail, requestId);
            case Verdict.MayHaveRun m -> build(verdict, m.reason(), Duration.ZERO, detail, requestId);
            case Verdict.Completed c ->
                throw new IllegalArgumentException("a completed request has no problem document");
        };
    }

    private static Problem build(Verdict verdict, Reason reason, Duration retryAfter, String detail, String requestId) {
        Document d = new Document(
                "urn:citrontide:reason:" + reason.key(),
                reason.key(),
                reason.httpStatus(),
                detail,
                verdict.headerValue(),
                requestId);
        try {
            byte[] body = JSON.writeValueAsString(d).getBytes(StandardCharsets.UTF_8);
            return new Problem(reason.httpStatus(), computeRetryAfter(reason, retryAfter), body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a document of strings and numbers can always be written as JSON", e);
        }
    }

    private static Optional<Long> computeRetryAfter(Reason reason, Duration retryAfter) {
        boolean isRetryUseful = switch (reason) {
            case BAD_REQUEST, UNAUTHENTICATED, UNKNOWN_SERVICE, BODY_TOO_LARGE, CANCELLED, CLAIMED_BEFORE -> false;
            default -> true;
        };
        if (!isRetryUseful) {
            return Optional.empty();
        }
        long roundedUpSeconds = (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        return Optional.of(Math.max(1, roundedUpSeconds));
    }

    /** The members that RFC 9457 defines, and the extension members {@code verdict} and {@code requestId}. */
    private record Document(String type, String title, int status, String detail, String verdict, String requestId) {}
}

package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

final class ResponseHeadTest {

    @ParameterizedTest
    @CsvSource({"2, 2", "1.6, 1.6", "0, 0", "1.6500000000000001, 1.6500000000000001"})
    void readsADecimalRateLimit(String value, double perSecond) {
        ResponseHead head = headWithLimit(value);
        assertEquals(OptionalDouble.of(perSecond), head.rateLimit());
        assertFalse(head.hasMalformedRateLimit());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "many", "1,6", "NaN", "1e3"})
    void aMalformedRateLimitIsNotTakenForAMissingOne(String value) {
        ResponseHead head = headWithLimit(value);
        assertEquals(OptionalDouble.empty(), head.rateLimit());
        assertTrue(head.hasMalformedRateLimit());
    }

    @Test
    void aResponseWithoutRateLimitNamesNone() {
        ResponseHead head = new ResponseHead(200, new DefaultHttpHeaders());
        assertEquals(OptionalDouble.empty(), head.rateLimit());
        assertFalse(head.hasMalformedRateLimit());
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1, 1", "2.5, 3", "3000, 3000", "999999999, 999999999"})
    void readsTheTimeForWhichAnUpstreamStaysCold(String value, long millis) {
        assertEquals(
                Optional.of(Duration.ofMillis(millis)), headWithColdTime(value).coldRemaining());
    }

    // Guards against an upstream that is taken for a warm one because its field can't be read.
    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "cold", "1,6", "NaN", "1e3"})
    void aMalformedColdTimeSaysNothing(String value) {
        assertEquals(Optional.empty(), headWithColdTime(value).coldRemaining());
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "3, 3000", "0.25, 250", "1.0001, 1001", "999999999, 999999999000"})
    void readsTheTimeForWhichAnUpstreamWantsNoRequests(String value, long millis) {
        assertEquals(
                Optional.of(Duration.ofMillis(millis)),
                headWithRetryAfter(503, value).backoff());
        assertFalse(headWithRetryAfter(503, value).hasMalformedBackoff());
        assertEquals(Optional.empty(), headWithRetryAfter(429, value).backoff());
        assertFalse(headWithRetryAfter(429, value).hasMalformedBackoff());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "-1", "soon", "1,6", "NaN", "1e3", "9999999999", "Mon, 07 Dec 2026 21:00:00 GMT"})
    void aMalformedTimeWithoutRequestsIsNotTakenForAMissingOne(String value) {
        assertEquals(Optional.empty(), headWithRetryAfter(503, value).backoff());
        assertTrue(headWithRetryAfter(503, value).hasMalformedBackoff());
    }

    private static ResponseHead headWithRetryAfter(int status, String value) {
        return new ResponseHead(status, new DefaultHttpHeaders().set(HttpHeaderNames.RETRY_AFTER, value));
    }

    private static ResponseHead headWithColdTime(String value) {
        return new ResponseHead(200, new DefaultHttpHeaders().set("Citrontide-Cold-Ms", value));
    }

    private static ResponseHead headWithLimit(String value) {
        return new ResponseHead(200, new DefaultHttpHeaders().set("Server-Limit", value));
    }
}

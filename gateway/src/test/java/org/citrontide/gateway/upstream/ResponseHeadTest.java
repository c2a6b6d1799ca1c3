package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

import io.netty.handler.codec.http.DefaultHttpHeaders;
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

    private static ResponseHead headWithColdTime(String value) {
        return new ResponseHead(200, new DefaultHttpHeaders().set("Citrontide-Cold-Ms", value));
    }

    private static ResponseHead headWithLimit(String value) {
        return new ResponseHead(200, new DefaultHttpHeaders().set("Server-Limit", value));
    }
}

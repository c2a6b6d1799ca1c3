package org.citrontide.gateway.upstream;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.platform.PlatformHeaders;

/**
 * The status and header fields of an upstream's response.
 *
 * @param status HTTP status
 * @param headers header fields, which must not be modified
 */
public record ResponseHead(int status, HttpHeaders headers) {

    private static final int UNAVAILABLE = 503;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,9}(\\.[0-9]+)?");

    /**
     * Returns the rate limit that the upstream names.
     *
     * @return requests per second from all gateways, empty if the field is missing or malformed
     */
    public OptionalDouble rateLimit() {
        String value = headers.get(PlatformHeaders.RATE_LIMIT);
        return value != null && DECIMAL.matcher(value.trim()).matches()
                ? OptionalDouble.of(Double.parseDouble(value.trim()))
                : OptionalDouble.empty();
    }

    /**
     * Returns how long the upstream says that it stays cold.
     *
     * @return the time, 0 if it is warm, empty if the field is missing or malformed
     */
    public Optional<Duration> coldRemaining() {
        String value = headers.get(PlatformHeaders.COLD_MS);
        return value != null && DECIMAL.matcher(value.trim()).matches()
                ? Optional.of(Duration.ofMillis((long) Math.ceil(Double.parseDouble(value.trim()))))
                : Optional.empty();
    }

    /**
     * Returns whether the response names a rate limit that can't be read.
     *
     * @return true if the field is malformed, false if it is missing
     */
    public boolean hasMalformedRateLimit() {
        return headers.contains(PlatformHeaders.RATE_LIMIT) && rateLimit().isEmpty();
    }

    /**
     * Returns for how long the upstream wants no more requests: a response with status 503 may say so.
     *
     * @return the time, 0 if it wants some at once, empty if the response says nothing or the field is malformed
     */
    public Optional<Duration> backoff() {
        String value = headers.get(HttpHeaderNames.RETRY_AFTER);
        return status == UNAVAILABLE
                        && value != null
                        && DECIMAL.matcher(value.trim()).matches()
                ? Optional.of(Duration.ofMillis((long) Math.ceil(Double.parseDouble(value.trim()) * MILLIS_PER_SECOND)))
                : Optional.empty();
    }

    /**
     * Returns whether the response names a time without requests that can't be read.
     *
     * @return true if the field is malformed, false if it is missing or without meaning
     */
    public boolean hasMalformedBackoff() {
        return status == UNAVAILABLE
                && headers.contains(HttpHeaderNames.RETRY_AFTER)
                && backoff().isEmpty();
    }

    /**
     * Returns whether the upstream produced the response, as opposed to an intermediary.
     *
     * @return true if the response is stamped
     */
    public boolean isStamped() {
        return headers.contains(PlatformHeaders.RESPONSE_STAMP);
    }

    /**
     * Returns whether the end of the body can be told from the body itself.
     *
     * @return false if the body ends with its connection
     */
    public boolean hasLength() {
        return headers.contains(HttpHeaderNames.CONTENT_LENGTH) || headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    }
}

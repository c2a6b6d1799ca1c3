package org.citrontide.gateway.dispatch;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.platform.PlatformHeaders;

/**
 * Sizes that a caller announces. Immutable.
 *
 * @param prompt tokens of the prompt, 0 if unknown
 * @param answer tokens expected in the answer, 0 if unknown
 */
record TokenCounts(int prompt, int answer) {
    private static final Pattern PAIR = Pattern.compile("([0-9]{1,9}),([0-9]{1,9})");

    static TokenCounts read(HttpHeaders headers) {
        String value = headers.get(PlatformHeaders.TOKEN_COUNTS);
        Matcher m = PAIR.matcher(value == null ? "" : value.trim());
        if (!m.matches()) {
            return new TokenCounts(0, 0);
        }
        int most = Integer.parseInt(m.group(2));
        long estimate = ForwardedRequest.number(headers, PlatformHeaders.ESTIMATED_COMPLETION_TOKENS)
                .orElse((long) most);
        return new TokenCounts(Integer.parseInt(m.group(1)), (int) Math.min(most, estimate));
    }
}

package org.citrontide.gateway.dispatch;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.platform.PlatformHeaders;

/**
 * The token counts that a caller announces in the headers of its request. Immutable.
 *
 * @param prompt number of prompt tokens, 0 if unknown
 * @param completion expected number of completion tokens, 0 if unknown
 */
record TokenCounts(int prompt, int completion) {
    private static final Pattern PAIR = Pattern.compile("([0-9]{1,9}),([0-9]{1,9})");

    static TokenCounts parse(HttpHeaders headers) {
        String value = headers.get(PlatformHeaders.TOKEN_COUNTS);
        Matcher m = PAIR.matcher(value == null ? "" : value.trim());
        if (!m.matches()) {
            return new TokenCounts(0, 0);
        }
        int maxCompletion = Integer.parseInt(m.group(2));
        long estimate = UpstreamRequestBuilder.parseNumber(headers, PlatformHeaders.ESTIMATED_COMPLETION_TOKENS)
                .orElse((long) maxCompletion);
        return new TokenCounts(Integer.parseInt(m.group(1)), (int) Math.min(maxCompletion, estimate));
    }
}

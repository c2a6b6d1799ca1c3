package org.citrontide.gateway.dispatch;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.citrontide.core.gateway.GatewayAction;
import org.citrontide.core.gateway.GatewayRequest;
import org.citrontide.gateway.caller.CallerRequest;
import org.citrontide.platform.PlatformHeaders;

/** Builds the request that an upstream gets from the caller's. Stateless. */
final class ForwardedRequest {
    /** Header fields that concern one connection only, in lower case. */
    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    /** Header fields that only the gateway sets, in lower case. */
    private static final Set<String> OWN = Set.of(
            HttpHeaderNames.AUTHORIZATION.toString(),
            PlatformHeaders.TEAM.toLowerCase(Locale.ROOT),
            PlatformHeaders.REMAINING_MS.toLowerCase(Locale.ROOT),
            PlatformHeaders.EXPECTED_UPSTREAM.toLowerCase(Locale.ROOT),
            PlatformHeaders.ADMISSION_RANK.toLowerCase(Locale.ROOT));

    private ForwardedRequest() {}

    /**
     * Builds a request.
     *
     * @param r the caller's request
     * @param s what was decided on it
     * @param resumeAfter number of the last event that the caller has, if this attempt goes on from there
     * @return the request
     */
    static FullHttpRequest build(CallerRequest r, GatewayAction.SendAttempt s, OptionalLong resumeAfter) {
        GatewayRequest g = s.request();
        byte[] body = r.body();
        FullHttpRequest out =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, r.method(), r.target(), Unpooled.wrappedBuffer(body));
        out.headers().set(endToEnd(r.headers()));
        OWN.forEach(out.headers()::remove);
        if (body.length > 0 || r.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(out, body.length);
        }
        if (!g.team().isEmpty()) {
            out.headers().set(PlatformHeaders.TEAM, g.team());
        }
        out.headers()
                .set(PlatformHeaders.REMAINING_MS, Math.max(1, s.remaining().toMillis()));
        out.headers().set(PlatformHeaders.EXPECTED_UPSTREAM, s.upstream().id());
        int rank = Math.clamp(s.admissionRank(), 0, PlatformHeaders.LAST_ADMISSION_RANK);
        out.headers().set(PlatformHeaders.ADMISSION_RANK, rank);
        resumeAfter.ifPresent(id -> out.headers().set(PlatformHeaders.LAST_EVENT_ID, id));
        return out;
    }

    /**
     * Copies the fields that are passed on from one connection to the next.
     *
     * @param headers fields as they came
     * @return the fields without those of one connection
     */
    static HttpHeaders endToEnd(HttpHeaders headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String named : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String n : named.split(",")) {
                dropped.add(n.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders out = new DefaultHttpHeaders();
        for (Map.Entry<String, String> e : headers.entries()) {
            if (!dropped.contains(e.getKey().toLowerCase(Locale.ROOT))) {
                out.add(e.getKey(), e.getValue());
            }
        }
        return out;
    }

    /**
     * Reads a header that holds a whole number.
     *
     * @param headers the fields
     * @param name name of the field
     * @return the number, if there is one
     */
    static Optional<Long> number(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name))
                .map(String::trim)
                .filter(v -> v.matches("[0-9]{1,12}"))
                .map(Long::parseLong);
    }
}

package org.citrontide.gateway.dispatch;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.buffer.ByteBuf;
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

/** Builds the request to an upstream from the request of a caller. Stateless. */
final class UpstreamRequestBuilder {
    /** Names of header fields that apply to a single connection only, in lower case. */
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

    /**
     * Names of header fields whose values from the caller are dropped, in lower case: only the gateway sets them, and
     * it doesn't forward the caller's key.
     */
    private static final Set<String> NOT_FORWARDED = Set.of(
            HttpHeaderNames.AUTHORIZATION.toString(),
            PlatformHeaders.TEAM.toLowerCase(Locale.ROOT),
            PlatformHeaders.REMAINING_MS.toLowerCase(Locale.ROOT),
            PlatformHeaders.EXPECTED_UPSTREAM.toLowerCase(Locale.ROOT),
            PlatformHeaders.ADMISSION_RANK.toLowerCase(Locale.ROOT));

    private UpstreamRequestBuilder() {}

    /**
     * Builds the request to an upstream, without the remaining time, which is set when the request is written.
     *
     * @param callerRequest the request of the caller
     * @param send the action that sends the attempt
     * @param resumeAfter number of the last event that the caller received, if the attempt resumes after it
     * @return the request to send
     */
    static FullHttpRequest build(
            CallerRequest callerRequest, GatewayAction.SendAttempt send, OptionalLong resumeAfter) {
        GatewayRequest request = send.request();
        ByteBuf body = callerRequest.body();
        int length = body.readableBytes();
        FullHttpRequest out =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, callerRequest.method(), callerRequest.target(), body);
        out.headers().set(copyEndToEnd(callerRequest.headers()));
        NOT_FORWARDED.forEach(out.headers()::remove);
        if (length > 0 || callerRequest.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(out, length);
        }
        if (!request.team().isEmpty()) {
            out.headers().set(PlatformHeaders.TEAM, request.team());
        }
        out.headers().set(PlatformHeaders.EXPECTED_UPSTREAM, send.upstream().id());
        int rank = Math.clamp(send.admissionRank(), 0, PlatformHeaders.MAX_ADMISSION_RANK);
        out.headers().set(PlatformHeaders.ADMISSION_RANK, rank);
        resumeAfter.ifPresent(id -> out.headers().set(PlatformHeaders.LAST_EVENT_ID, id));
        return out;
    }

    /**
     * Copies the end-to-end header fields, without the hop-by-hop fields and those that the Connection field names.
     *
     * @param headers header fields as received
     * @return a copy of the end-to-end fields
     */
    static HttpHeaders copyEndToEnd(HttpHeaders headers) {
        Set<String> dropped = new HashSet<>(HOP_BY_HOP);
        for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String option : connectionOptions.split(",")) {
                dropped.add(option.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders out = new DefaultHttpHeaders();
        for (Map.Entry<String, String> field : headers.entries()) {
            if (!dropped.contains(field.getKey().toLowerCase(Locale.ROOT))) {
                out.add(field.getKey(), field.getValue());
            }
        }
        return out;
    }

    /**
     * Parses a header field whose value is a non-negative integer of at most 12 digits.
     *
     * @param headers the header fields
     * @param name name of the field
     * @return the number, or empty if the field is missing or malformed
     */
    static Optional<Long> parseNumber(HttpHeaders headers, String name) {
        return Optional.ofNullable(headers.get(name))
                .map(String::trim)
                .filter(v -> v.matches("[0-9]{1,12}"))
                .map(Long::parseLong);
    }
}

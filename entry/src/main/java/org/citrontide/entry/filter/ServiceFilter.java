package org.citrontide.entry.filter;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.verdict.Reason;

/**
 * Finds the service: by the field {@code model} of a chat completion, or by the path {@code /services/NAME/...}.
 * Stateless and safe for use by many threads.
 */
public final class ServiceFilter implements RequestFilter {
    private static final String CHAT = "/v1/chat/completions";
    private static final String SERVICES = "/services/";
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public Optional<Refusal> apply(RequestContext c) {
        if (c.path.equals(CHAT)) {
            return chat(c);
        }
        if (c.path.startsWith(SERVICES)) {
            return plain(c);
        }
        return unknown("use " + CHAT + " or " + SERVICES + "NAME/...");
    }

    private static Optional<Refusal> chat(RequestContext c) {
        JsonNode json;
        try {
            json = JSON.readTree(c.body);
        } catch (IOException e) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "the body is not JSON"));
        }
        if (json == null || !json.path("model").isTextual()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "the field model is missing or not a string"));
        }
        c.json = Optional.of(json);
        c.upstreamPath = CHAT;
        return find(c, json.path("model").asText(), ServiceFile.Kind.MODEL);
    }

    private static Optional<Refusal> plain(RequestContext c) {
        int end = c.path.indexOf('/', SERVICES.length());
        if (end < 0) {
            return unknown("a path follows the name of the service");
        }
        c.upstreamPath = c.path.substring(end);
        return find(c, c.path.substring(SERVICES.length(), end), ServiceFile.Kind.PLAIN);
    }

    private static Optional<Refusal> find(RequestContext c, String name, ServiceFile.Kind kind) {
        c.service = Optional.ofNullable(c.configuration.services().get(name)).filter(s -> s.kind() == kind);
        if (c.service.isEmpty()) {
            return unknown("no such service of kind " + kind.name().toLowerCase(Locale.ROOT));
        }
        int limit = c.service.get().limits().maxBodyBytes();
        if (c.body.length > limit) {
            return Optional.of(Refusal.of(Reason.BODY_TOO_LARGE, "the body is limited to " + limit + " bytes"));
        }
        return Optional.empty();
    }

    private static Optional<Refusal> unknown(String detail) {
        return Optional.of(Refusal.of(Reason.UNKNOWN_SERVICE, detail));
    }
}

package org.citrontide.entry.filter;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.citrontide.core.publication.ServiceFile;
import org.citrontide.core.verdict.Reason;

/**
 * Finds the requested service by the field {@code model} of a chat completion or by the path
 * {@code /services/NAME/...}, and limits the length of its bodies. Stateless and thread-safe.
 */
public final class ServiceFilter implements RequestFilter {
    private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";
    private static final String SERVICES_PATH_PREFIX = "/services/";
    private static final ObjectMapper JSON = new ObjectMapper();

    @Override
    public Optional<Refusal> apply(RequestContext context) {
        if (context.path.equals(CHAT_COMPLETIONS_PATH)) {
            return applyChatCompletion(context);
        }
        if (context.path.startsWith(SERVICES_PATH_PREFIX)) {
            return applyPlainService(context);
        }
        return refuseUnknownService("use " + CHAT_COMPLETIONS_PATH + " or " + SERVICES_PATH_PREFIX + "NAME/...");
    }

    private static Optional<Refusal> applyChatCompletion(RequestContext context) {
        JsonNode json;
        try {
            json = JSON.readTree(context.body);
        } catch (IOException e) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "the body is not JSON"));
        }
        if (json == null || !json.path("model").isTextual()) {
            return Optional.of(Refusal.of(Reason.BAD_REQUEST, "the field model is missing or not a string"));
        }
        context.json = Optional.of(json);
        context.upstreamPath = CHAT_COMPLETIONS_PATH;
        return findService(context, json.path("model").asText(), ServiceFile.Kind.MODEL);
    }

    private static Optional<Refusal> applyPlainService(RequestContext context) {
        int end = context.path.indexOf('/', SERVICES_PATH_PREFIX.length());
        if (end < 0) {
            return refuseUnknownService("the name of the service must be followed by a path");
        }
        context.upstreamPath = context.path.substring(end);
        return findService(context, context.path.substring(SERVICES_PATH_PREFIX.length(), end), ServiceFile.Kind.PLAIN);
    }

    private static Optional<Refusal> findService(RequestContext context, String name, ServiceFile.Kind kind) {
        context.service =
                Optional.ofNullable(context.configuration.services().get(name)).filter(s -> s.kind() == kind);
        if (context.service.isEmpty()) {
            return refuseUnknownService("no such service of kind " + kind.name().toLowerCase(Locale.ROOT));
        }
        int limit = context.service.get().limits().maxBodyBytes();
        if (context.body.length > limit) {
            return Optional.of(Refusal.of(Reason.BODY_TOO_LARGE, "the body is limited to " + limit + " bytes"));
        }
        return Optional.empty();
    }

    private static Optional<Refusal> refuseUnknownService(String detail) {
        return Optional.of(Refusal.of(Reason.UNKNOWN_SERVICE, detail));
    }
}

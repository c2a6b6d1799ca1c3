package org.citrontide.entry.filter;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Estimates the cost in tokens from the length of the body; for a chat completion, adds the maximum number of tokens of
 * the answer. Stateless and thread-safe.
 */
public final class CostFilter implements RequestFilter {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 256;
    private static final int MAX_ANSWER_TOKENS = 100_000;

    @Override
    public Optional<Refusal> apply(RequestContext context) {
        int promptTokens = context.body.length / BYTES_PER_TOKEN;
        context.cost =
                1 + promptTokens + context.json.map(CostFilter::maxAnswerTokens).orElse(0);
        return Optional.empty();
    }

    private static int maxAnswerTokens(JsonNode json) {
        JsonNode limit =
                json.has("max_completion_tokens") ? json.get("max_completion_tokens") : json.path("max_tokens");
        int tokens = limit.isInt() ? limit.intValue() : DEFAULT_ANSWER_TOKENS;
        return Math.clamp(tokens, 1, MAX_ANSWER_TOKENS);
    }
}

package org.citrontide.entry.filter;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Estimates the cost in tokens: the prompt's length plus the most tokens that the answer may have for a model, the
 * length of the body for a plain service. Stateless and safe for use by many threads.
 */
public final class CostFilter implements RequestFilter {
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_ANSWER_TOKENS = 256;
    private static final int MAX_ANSWER_TOKENS = 100_000;

    @Override
    public Optional<Refusal> apply(RequestContext c) {
        int prompt = c.body.length / BYTES_PER_TOKEN;
        c.cost = 1 + prompt + c.json.map(CostFilter::answerTokens).orElse(0);
        return Optional.empty();
    }

    private static int answerTokens(JsonNode json) {
        JsonNode limit =
                json.has("max_completion_tokens") ? json.get("max_completion_tokens") : json.path("max_tokens");
        int tokens = limit.isInt() ? limit.intValue() : DEFAULT_ANSWER_TOKENS;
        return Math.clamp(tokens, 1, MAX_ANSWER_TOKENS);
    }
}

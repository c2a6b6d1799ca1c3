package org.citrontide.gateway.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpHeaders;
import org.citrontide.platform.PlatformHeaders;

/** Parses the parts of the prompt that a caller announces in the headers of its request. Stateless. */
final class PromptParts {
    private static final Pattern PART = Pattern.compile("([0-9a-zA-Z_-]{1,64}):[0-9]{1,9}");

    private PromptParts() {}

    /**
     * Returns the parts that other requests may share.
     *
     * @param headers header fields of the request
     * @return identifiers of all parts but the last in their order, empty if the field is missing or malformed
     */
    static List<String> parseShared(HttpHeaders headers) {
        List<String> values = headers.getAll(PlatformHeaders.PROMPT_PARTS);
        if (values.isEmpty()) {
            return List.of();
        }
        List<String> ids = new ArrayList<>();
        for (String part : String.join(",", values).split(",")) {
            Matcher m = PART.matcher(part.trim());
            if (!m.matches()) {
                return List.of();
            }
            ids.add(m.group(1));
        }
        return ids.subList(0, ids.size() - 1);
    }
}

package org.citrontide.gateway.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citrontide.core.quarantine.CrashEvidence;
import org.citrontide.platform.DecodeException;

/**
 * Encodes the evidence that gateways share through the store as JSON. Times are Unix times in ms there, and monotonic
 * times of this process here. Stateless.
 */
final class CrashEvidenceCodec {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String TIME = "unix_ms";
    private static final String UPSTREAM = "crashed_upstream";
    private static final String PROMPTS = "prompts";
    private static final String PART = "answered_part";
    private static final long NANOS_PER_MS = 1_000_000;

    private CrashEvidenceCodec() {}

    static byte[] encode(CrashEvidence evidence, long nowNanos, long nowUnixMs) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(TIME, nowUnixMs - (nowNanos - evidence.observedNanos()) / NANOS_PER_MS);
        switch (evidence) {
            case CrashEvidence.Crash c -> {
                body.put(UPSTREAM, c.upstream());
                ArrayNode prompts = body.putArray(PROMPTS);
                for (List<String> parts : c.prompts()) {
                    ArrayNode array = prompts.addArray();
                    parts.forEach(array::add);
                }
            }
            case CrashEvidence.Answer a -> body.put(PART, a.part());
        }
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of strings and numbers is always serializable", e);
        }
    }

    static CrashEvidence decode(byte[] body, long nowNanos, long nowUnixMs) throws DecodeException {
        JsonNode node = parse(body);
        if (!node.path(TIME).canConvertToLong()) {
            throw new DecodeException(TIME + " is not an integer");
        }
        // The clock of the VM that wrote the evidence may be ahead.
        long ageMs = Math.max(0, nowUnixMs - node.path(TIME).longValue());
        long observedNanos = nowNanos - ageMs * NANOS_PER_MS;
        if (node.path(PART).isTextual()) {
            return new CrashEvidence.Answer(node.path(PART).textValue(), observedNanos);
        }
        if (!node.path(UPSTREAM).isTextual()) {
            throw new DecodeException("neither " + UPSTREAM + " nor " + PART + " is a string");
        }
        List<List<String>> prompts = new ArrayList<>();
        for (JsonNode prompt : node.path(PROMPTS)) {
            List<String> parts = new ArrayList<>();
            prompt.forEach(part -> parts.add(part.asText()));
            prompts.add(parts);
        }
        return new CrashEvidence.Crash(node.path(UPSTREAM).textValue(), observedNanos, prompts);
    }

    private static JsonNode parse(byte[] body) throws DecodeException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new DecodeException("evidence is not a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new DecodeException("evidence is not valid JSON", e);
        }
    }
}

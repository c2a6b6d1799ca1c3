package org.citrontide.gateway.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.citrontide.platform.DecodeException;

/** Encodes the groups of a service as a JSON object with the members of each group. Stateless. */
final class GroupCodec {
    private static final JsonMapper MAPPER = new JsonMapper();

    private GroupCodec() {}

    static byte[] encode(Map<String, List<String>> membersByGroup) {
        ObjectNode body = MAPPER.createObjectNode();
        membersByGroup.forEach((group, members) -> {
            ArrayNode array = body.putArray(group);
            members.forEach(array::add);
        });
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of strings is always serializable", e);
        }
    }

    static Map<String, List<String>> decode(byte[] body) throws DecodeException {
        JsonNode node = parse(body);
        Map<String, List<String>> membersByGroup = new TreeMap<>();
        for (Map.Entry<String, JsonNode> group : node.properties()) {
            List<String> members = new ArrayList<>();
            for (JsonNode member : group.getValue()) {
                if (!member.isTextual()) {
                    throw new DecodeException("member of a group is not a string");
                }
                members.add(member.textValue());
            }
            membersByGroup.put(group.getKey(), members);
        }
        return membersByGroup;
    }

    private static JsonNode parse(byte[] body) throws DecodeException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node == null || !node.isObject()) {
                throw new DecodeException("groups are not a JSON object");
            }
            return node;
        } catch (IOException e) {
            throw new DecodeException("groups are not valid JSON", e);
        }
    }
}

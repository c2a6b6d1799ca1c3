package org.citrontide.gateway.upstream;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;

import org.citrontide.platform.PlatformHeaders;

/**
 * What the lines of a server-sent event say about its place in a stream. Immutable.
 *
 * @param number value of the ID field, empty if there is none or it is no number
 * @param isComment whether the event has no fields
 * @param hasUnknownField whether the event has a field that readers ignore
 */
record ServerSentEvent(OptionalLong number, boolean isComment, boolean hasUnknownField) {
    private static final String ID = "id";
    private static final Set<String> KNOWN_FIELDS =
            Set.of(ID, "data", "event", "retry", PlatformHeaders.EVENT_WEIGHT_VERSIONS);

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [0-9]{3}");

    /**
     * Parses an event.
     *
     * @param bytes bytes that contain the event
     * @param start position of its first line
     * @param end position after the blank line that ends it
     * @return the event, empty if a line is no line of an event stream, such as a status line, if the event has more
     *     than one ID and so the lines of several events, or if a status line and fields unknown in event streams show
     *     that it goes on with the head of a response
     */
    static Optional<ServerSentEvent> parse(byte[] bytes, int start, int end) {
        // Each byte is one character, so that no byte is lost.
        String text = new String(bytes, start, end - start, StandardCharsets.ISO_8859_1);
        OptionalLong number = OptionalLong.empty();
        boolean isComment = true;
        boolean hasId = false;
        boolean hasUnknownField = false;
        for (String lineWithReturn : text.split("\n")) {
            String line = withoutSuffix(lineWithReturn, '\r');
            if (line.isEmpty() || line.charAt(0) == ':') {
                continue;
            }
            isComment = false;
            int colon = line.indexOf(':');
            String name = colon < 0 ? line : line.substring(0, colon);
            boolean isSecondId = hasId && name.equals(ID);
            if (!isFieldName(name) || isSecondId) {
                return Optional.empty();
            }
            hasUnknownField |= !KNOWN_FIELDS.contains(name);
            if (name.equals(ID)) {
                hasId = true;
                number = parseNumber(line.substring(Math.min(line.length(), name.length() + 1)));
            }
        }
        if (hasUnknownField && STATUS_LINE.matcher(text).find()) {
            return Optional.empty();
        }
        return Optional.of(new ServerSentEvent(number, isComment, hasUnknownField));
    }

    private static String withoutSuffix(String line, char suffix) {
        return !line.isEmpty() && line.charAt(line.length() - 1) == suffix
                ? line.substring(0, line.length() - 1)
                : line;
    }

    private static boolean isFieldName(String name) {
        return name.chars()
                .allMatch(c -> c >= 'a' && c <= 'z'
                        || c >= 'A' && c <= 'Z'
                        || c >= '0' && c <= '9'
                        || c == '-'
                        || c == '_'
                        || c == '.');
    }

    private static OptionalLong parseNumber(String value) {
        String number = value.trim();
        return number.matches("[0-9]{1,18}") ? OptionalLong.of(Long.parseLong(number)) : OptionalLong.empty();
    }
}

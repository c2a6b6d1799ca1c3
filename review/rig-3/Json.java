import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A reader for the JSON documents that the gateway sends. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) new Json(text).readValue();
    }

    static String quote(String s) {
        return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    static long number(Map<String, Object> object, String field, long otherwise) {
        return object.get(field) instanceof Number n ? n.longValue() : otherwise;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Map<String, Object> object, String field) {
        return object.get(field) instanceof List<?> l ? (List<Object>) l : List.of();
    }

    private Object readValue() {
        skipBlanks();
        return switch (text.charAt(at)) {
            case '{' -> readObject();
            case '[' -> readArray();
            case '"' -> readString();
            default -> readWord();
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> object = new LinkedHashMap<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != '}') {
            skipBlanks();
            String name = readString();
            skipBlanks();
            at++;
            object.put(name, readValue());
            skipSeparator();
        }
        at++;
        return object;
    }

    private List<Object> readArray() {
        List<Object> array = new ArrayList<>();
        at++;
        skipBlanks();
        while (text.charAt(at) != ']') {
            array.add(readValue());
            skipSeparator();
        }
        at++;
        return array;
    }

    private String readString() {
        StringBuilder s = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            if (text.charAt(at) == '\\') {
                at++;
            }
            s.append(text.charAt(at));
        }
        at++;
        return s.toString();
    }

    private Object readWord() {
        int start = at;
        while (at < text.length() && ",]} \r\n\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?[0-9]+") ? (Object) Long.valueOf(word) : (Object) Double.valueOf(word);
        };
    }

    private void skipSeparator() {
        skipBlanks();
        if (text.charAt(at) == ',') {
            at++;
            skipBlanks();
        }
    }

    private void skipBlanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}

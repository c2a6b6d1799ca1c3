package org.citrontide.review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small reader and writer of JSON: objects are maps, arrays are lists, whole numbers are longs. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json j = new Json(text);
        Object value = j.value();
        j.space();
        if (j.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> array(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> e : map.entrySet()) {
                out.append(separator);
                write(e.getKey(), out);
                out.append(':');
                write(e.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object e : list) {
                out.append(separator);
                write(e, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String s) {
            out.append('"').append(s.replace("\\", "\\\\").replace("\"", "\\\"")).append('"');
        } else {
            out.append(value);
        }
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }

    private Object value() {
        space();
        char c = text.charAt(at);
        return switch (c) {
            case '{' -> objectValue();
            case '[' -> arrayValue();
            case '"' -> stringValue();
            default -> word();
        };
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            space();
            String key = stringValue();
            space();
            at++; // colon
            map.put(key, value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return map;
    }

    private List<Object> arrayValue() {
        List<Object> list = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            list.add(value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return list;
    }

    private String stringValue() {
        StringBuilder s = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                s.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> s.append('\n');
                case 't' -> s.append('\t');
                case 'r' -> s.append('\r');
                case 'b' -> s.append('\b');
                case 'f' -> s.append('\f');
                case 'u' -> {
                    s.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> s.append(escaped);
            }
        }
        at++;
        return s.toString();
    }

    private Object word() {
        int start = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
        };
    }
}

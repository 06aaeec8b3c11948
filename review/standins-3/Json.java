import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, texts, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) read(text);
    }

    /** Makes an object of names and values by turns. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                out.append(comma);
                write(each.getKey(), out);
                out.append(':');
                write(each.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object each : list) {
                out.append(comma);
                write(each, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            out.append(string.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n"));
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        blanks();
        char next = text.charAt(at);
        if (next == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            blanks();
            while (text.charAt(at) != '}') {
                String key = (String) value();
                blanks();
                at++;
                map.put(key, value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return map;
        }
        if (next == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            blanks();
            while (text.charAt(at) != ']') {
                list.add(value());
                blanks();
                if (text.charAt(at) == ',') {
                    at++;
                    blanks();
                }
            }
            at++;
            return list;
        }
        if (next == '"') {
            StringBuilder out = new StringBuilder();
            at++;
            while (text.charAt(at) != '"') {
                if (text.charAt(at) == '\\') {
                    at++;
                    char escaped = text.charAt(at);
                    if (escaped == 'u') {
                        out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                        at += 4;
                    } else {
                        out.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
                    }
                } else {
                    out.append(text.charAt(at));
                }
                at++;
            }
            at++;
            return out.toString();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        };
    }

    private void blanks() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}

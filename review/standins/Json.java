import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer for the stand-ins. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return text.isBlank() ? Map.of() : (Map<String, Object>) read(text);
    }

    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
    }

    static long whole(Map<String, Object> from, String field) {
        Object value = from.get(field);
        return value instanceof Number number ? number.longValue() : 0;
    }

    private Object value() {
        space();
        char first = text.charAt(at);
        if (first == '{') {
            return object();
        }
        if (first == '[') {
            return list();
        }
        if (first == '"') {
            return string();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        return switch (word) {
            case "true" -> Boolean.TRUE;
            case "false" -> Boolean.FALSE;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> found = new LinkedHashMap<>();
        at++;
        space();
        while (text.charAt(at) != '}') {
            String name = string();
            space();
            at++;
            found.put(name, value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return found;
    }

    private List<Object> list() {
        List<Object> found = new ArrayList<>();
        at++;
        space();
        while (text.charAt(at) != ']') {
            found.add(value());
            space();
            if (text.charAt(at) == ',') {
                at++;
                space();
            }
        }
        at++;
        return found;
    }

    private String string() {
        StringBuilder found = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                found.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> found.append('\n');
                case 'r' -> found.append('\r');
                case 't' -> found.append('\t');
                case 'b' -> found.append('\b');
                case 'f' -> found.append('\f');
                case 'u' -> {
                    found.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> found.append(escaped);
            }
        }
        at++;
        return found.toString();
    }

    private void space() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** One message of HTTP/1.1 as it is read from a socket: the first line, headers and the body. */
final class Http {
    final String first;
    final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    byte[] body = new byte[0];

    private Http(String first) {
        this.first = first;
    }

    /** Reads a first line and headers; null if the connection ends before them. */
    static Http head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Http message = new Http(first);
        String line = line(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            line = line(in);
        }
        if (line == null) {
            throw new IOException("the head breaks off");
        }
        return message;
    }

    /** Reads a request with its body; null if the connection ends before it. */
    static Http request(InputStream in) throws IOException {
        Http message = head(in);
        if (message != null) {
            int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
            message.body = in.readNBytes(length);
            if (message.body.length < length) {
                throw new IOException("the body breaks off");
            }
        }
        return message;
    }

    String header(String name) {
        return headers.getOrDefault(name, "");
    }

    String method() {
        return first.split(" ")[0];
    }

    String path() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            bytes.write(next);
            next = in.read();
        }
        if (next < 0) {
            throw new IOException("a line breaks off");
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads one chunk of a body; empty at its end. */
    static byte[] chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new IOException("the body breaks off");
        }
        int length = Integer.parseInt(size.trim(), 16);
        byte[] data = in.readNBytes(length);
        if (data.length < length || line(in) == null) {
            throw new IOException("a chunk breaks off");
        }
        return data;
    }
}

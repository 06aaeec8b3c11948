import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Sends single requests, each on a connection of its own, and reads whole answers. */
final class Client {
    private static final AtomicLong ATTEMPTS = new AtomicLong();

    private final Record record;

    Client(Record record) {
        this.record = record;
    }

    /** The outcome of a request: its status, or 0 if no whole answer came. */
    record Outcome(String attempt, int status, boolean whole, double millis) {
        boolean served() {
            return whole && status == 200;
        }
    }

    Outcome send(Router to, String method, String path, String key, String model, int tokens, long deadlineMillis) {
        String attempt = String.format("%016x", 0x5eed000000L + ATTEMPTS.incrementAndGet());
        String request = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n"
                + "Attempt-Id: " + attempt + "\r\nDeadline-Ms: " + deadlineMillis + "\r\nX-Api-Key: " + key + "\r\n"
                + (model == null ? "" : "Model: " + model + "\r\nToken-Usage: " + tokens + ",1\r\n")
                + "Content-Length: 0\r\n\r\n";
        long start = System.nanoTime();
        record.line("client sends " + attempt + " " + path + " to " + to.vm());
        int status = 0;
        boolean whole = false;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(to.host(), to.callers()), 1_000);
            socket.setSoTimeout((int) deadlineMillis + 500);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] answer = readAll(new BufferedInputStream(socket.getInputStream()));
            String text = new String(answer, StandardCharsets.ISO_8859_1);
            if (text.startsWith("HTTP/1.1 ")) {
                status = Integer.parseInt(text.substring(9, 12));
                whole = isWhole(text);
            }
        } catch (IOException e) {
            record.line("client: " + attempt + ": " + e.getMessage());
        }
        Outcome outcome = new Outcome(attempt, status, whole, (System.nanoTime() - start) / 1e6);
        record.line("client gets " + status + (whole ? "" : " (not whole)") + " for " + attempt
                + " after " + Math.round(outcome.millis()) + " ms");
        return outcome;
    }

    private static byte[] readAll(InputStream in) throws IOException {
        ByteArrayOutputStream found = new ByteArrayOutputStream();
        in.transferTo(found);
        return found.toByteArray();
    }

    private static boolean isWhole(String text) {
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        String head = text.substring(0, end).toLowerCase();
        String body = text.substring(end + 4);
        if (head.contains("transfer-encoding: chunked")) {
            return body.endsWith("0\r\n\r\n");
        }
        int at = head.indexOf("content-length: ");
        if (at < 0) {
            return true;
        }
        String digits = head.substring(at + 16).split("\r\n")[0].trim();
        return body.length() == Integer.parseInt(digits);
    }
}

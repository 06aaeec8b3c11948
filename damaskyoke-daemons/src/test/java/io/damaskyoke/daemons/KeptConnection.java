package io.damaskyoke.daemons;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;

/** One caller's connection that stays open from request to request. */
final class KeptConnection implements Closeable {
    private static final String LENGTH = "content-length:";

    private final Socket socket;
    private final BufferedReader reader;
    private final String key;

    private KeptConnection(Socket socket, String key) throws IOException {
        this.socket = socket;
        this.key = key;
        this.reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    static KeptConnection to(String url, String key) throws IOException {
        URI target = URI.create(url);
        return new KeptConnection(new Socket(target.getHost(), target.getPort()), key);
    }

    /** Sends a GET and reads the whole answer; gives its status. */
    int get(String path) throws IOException {
        String request =
                "GET %s HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\n\r\n"
                        .formatted(path, key);
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        int status = Integer.parseInt(reader.readLine().split(" ")[1]);
        int length = 0;
        for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
            if (line.toLowerCase().startsWith(LENGTH)) {
                length = Integer.parseInt(line.substring(LENGTH.length()).strip());
            }
        }
        for (int i = 0; i < length; i++) {
            reader.read();
        }
        return status;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}

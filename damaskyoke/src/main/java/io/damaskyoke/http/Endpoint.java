package io.damaskyoke.http;

import io.damaskyoke.http.HttpException.Code;
import java.net.InetSocketAddress;

/** An IP address and a port: {@code Endpoint.parse("10.0.0.7:8080")}. */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Validates that the host is not empty and the port is between 1 and 65535. */
    public Endpoint {
        if (host.isEmpty() || port < 1 || port > MAX_PORT) {
            throw new HttpException(
                    Code.BAD_ENDPOINT,
                    "expected a host and a port from 1 to 65535, got " + host + ":" + port);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws HttpException BAD_ENDPOINT if the text is anything else
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new HttpException(Code.BAD_ENDPOINT, "expected host:port, got " + text);
        }
        try {
            return new Endpoint(
                    text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new HttpException(Code.BAD_ENDPOINT, "expected host:port, got " + text);
        }
    }

    /** Returns this endpoint as a socket address to listen on or to connect to. */
    public InetSocketAddress socket() {
        return new InetSocketAddress(host, port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}

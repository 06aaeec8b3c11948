package io.damaskyoke.upstream;

import io.damaskyoke.exchange.Header;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Which headers may pass between caller and upstream, and which belong to one connection only. */
final class PassedHeaders {
    private static final Set<String> OF_THE_CONNECTION =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "host",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade");

    /**
     * The caller side strips the key already. Should it miss one spelling, the upstream would see a
     * key that opens the whole workspace; a second list at the last door is cheap.
     */
    private static final Set<String> CREDENTIALS =
            Set.of("authorization", "proxy-authorization", "x-api-key", "api-key", "cookie");

    private PassedHeaders() {}

    /** Those of a request that the upstream may see. */
    static List<Header> toUpstream(List<Header> headers) {
        return headers.stream()
                .filter(header -> !OF_THE_CONNECTION.contains(lower(header)))
                .filter(header -> !CREDENTIALS.contains(lower(header)))
                .toList();
    }

    /** Those of an answer that the caller may see. */
    static List<Header> toCaller(List<Header> headers) {
        return headers.stream()
                .filter(header -> !OF_THE_CONNECTION.contains(lower(header)))
                .toList();
    }

    private static String lower(Header header) {
        return header.name().toLowerCase(Locale.ROOT);
    }
}

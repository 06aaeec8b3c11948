package io.damaskyoke.caller;

import io.damaskyoke.exchange.Header;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Picks the headers that may pass between caller and upstream. */
final class SafeHeaders {
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect",
                    "http2-settings");
    private static final Set<String> CALLERS_OWN =
            Set.of("authorization", "x-api-key", "api-key", "cookie", "host");
    private static final Set<String> SERVERS_OWN = Set.of("date", "server");

    private SafeHeaders() {}

    /**
     * The headers an upstream may see. A caller may copy its key into any header, so each header
     * that holds the key in name or value is dropped, whatever it is called.
     */
    static List<Header> toUpstream(List<Header> headers, String callerKey) {
        String key = callerKey.toLowerCase(Locale.ROOT);
        return endToEnd(headers, CALLERS_OWN).stream().filter(h -> !holds(h, key)).toList();
    }

    /** The headers of an upstream that a caller may see. */
    static List<Header> toCaller(List<Header> headers) {
        return endToEnd(headers, SERVERS_OWN);
    }

    private static List<Header> endToEnd(List<Header> headers, Set<String> dropped) {
        Set<String> listed = listedByConnection(headers);
        return headers.stream()
                .filter(h -> passes(h.name().trim().toLowerCase(Locale.ROOT), listed, dropped))
                .toList();
    }

    private static boolean passes(String name, Set<String> listed, Set<String> dropped) {
        return !HOP_BY_HOP.contains(name)
                && !name.startsWith("proxy-")
                && !dropped.contains(name)
                && !listed.contains(name);
    }

    private static Set<String> listedByConnection(List<Header> headers) {
        Set<String> names = new HashSet<>();
        headers.stream()
                .filter(h -> h.named("Connection"))
                .flatMap(h -> Arrays.stream(h.value().split(",")))
                .forEach(name -> names.add(name.trim().toLowerCase(Locale.ROOT)));
        return names;
    }

    private static boolean holds(Header header, String lowerCaseKey) {
        return header.value().toLowerCase(Locale.ROOT).contains(lowerCaseKey)
                || header.name().toLowerCase(Locale.ROOT).contains(lowerCaseKey);
    }
}

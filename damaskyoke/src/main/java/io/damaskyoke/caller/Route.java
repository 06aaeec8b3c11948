package io.damaskyoke.caller;

import io.damaskyoke.exchange.RefusalCode;
import java.util.Optional;
import java.util.Set;

/** Which part of the API a path leads to, and the name that stands in the path. */
record Route(Kind kind, String name, String rest) {
    private static final String MODELS = "/v1/models";
    private static final String SERVICES = "/v1/services/";

    /** The parts of the API, with the methods each takes; none named means any. */
    enum Kind {
        MODEL_LIST("GET, HEAD, OPTIONS"),
        MODEL_CARD("GET, HEAD, OPTIONS"),
        CHAT("POST, OPTIONS"),
        COMPLETION("POST, OPTIONS"),
        SERVICE("");

        private final String allow;

        Kind(String allow) {
            this.allow = allow;
        }

        /** The value of the {@code Allow} header. */
        String allow() {
            return allow;
        }

        boolean takes(String method) {
            return allow.isEmpty() || Set.of(allow.split(", ")).contains(method);
        }

        boolean modelCall() {
            return this == CHAT || this == COMPLETION;
        }
    }

    /** The route of a percent-encoded path, or empty if there is none. */
    static Optional<Route> of(String path) {
        return switch (path) {
            case MODELS -> Optional.of(new Route(Kind.MODEL_LIST, "", ""));
            case "/v1/chat/completions" -> Optional.of(new Route(Kind.CHAT, "", ""));
            case "/v1/completions" -> Optional.of(new Route(Kind.COMPLETION, "", ""));
            default -> named(path);
        };
    }

    private static Optional<Route> named(String path) {
        if (path.startsWith(MODELS + "/")) {
            String name = RequestHead.decoded(path.substring(MODELS.length() + 1));
            return Optional.of(new Route(Kind.MODEL_CARD, name, ""));
        }
        return path.startsWith(SERVICES)
                ? Optional.of(service(path.substring(SERVICES.length())))
                : Optional.empty();
    }

    private static Route service(String path) {
        int slash = path.indexOf('/');
        String name = slash < 0 ? path : path.substring(0, slash);
        String rest = slash < 0 ? "/" : path.substring(slash);
        checkNoDotSegments(rest);
        return new Route(Kind.SERVICE, RequestHead.decoded(name), rest);
    }

    /**
     * Refuses {@code /lookup/../payments}: operators mark calls as idempotent by a prefix of their
     * path, and an upstream that resolves the dots would see a payment repeated as a lookup.
     */
    private static void checkNoDotSegments(String path) {
        for (String segment : RequestHead.decoded(path).split("[/\\\\;]")) {
            if (segment.equals(".") || segment.equals("..")) {
                throw CallerException.of(
                        RefusalCode.MALFORMED_REQUEST, "the path must not hold . or .. segments");
            }
        }
    }
}

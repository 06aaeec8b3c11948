package io.damaskyoke.caller;

import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.RefusalCode;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A request as it came in, without its body.
 *
 * @param method as sent, for example {@code POST}
 * @param path still percent-encoded, without the query
 * @param query with its question mark, or empty
 * @param headers all of them, {@code Content-Type} included
 */
record RequestHead(String method, String path, String query, List<Header> headers) {
    RequestHead {
        headers = List.copyOf(headers);
    }

    /** Splits the target as it stood on the wire: {@code /v1/models?x=y}, or with a host before. */
    static RequestHead of(String method, String target, List<Header> headers) {
        String local = withoutAuthority(target);
        int mark = local.indexOf('?');
        return mark < 0
                ? new RequestHead(method, local, "", headers)
                : new RequestHead(method, local.substring(0, mark), local.substring(mark), headers);
    }

    /** The value of a header that may come once at most. */
    Optional<String> header(String name) {
        List<String> values =
                headers.stream().filter(h -> h.named(name)).map(Header::value).toList();
        if (values.size() > 1) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST, name + " must not come more than once");
        }
        return values.stream().findFirst();
    }

    /** Percent-decodes part of a path; a plus sign stays one. */
    static String decoded(String encoded) {
        try {
            return URLDecoder.decode(encoded.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw CallerException.of(
                    RefusalCode.MALFORMED_REQUEST, "the path is not rightly percent-encoded");
        }
    }

    private static String withoutAuthority(String target) {
        int scheme = target.indexOf("://");
        if (target.startsWith("/") || scheme < 0) {
            return target;
        }
        int path = target.indexOf('/', scheme + 3);
        return path < 0 ? "/" : target.substring(path);
    }
}

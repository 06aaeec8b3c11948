package io.damaskyoke.upstream;

import io.damaskyoke.exchange.Header;
import io.damaskyoke.exchange.Request;
import io.damaskyoke.upstream.UpstreamException.Code;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethod;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.Connection;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.javadsl.model.headers.RawRequestURI;

/** Turns a request of ours into one for the upstream. What can't be put in HTTP is not sent. */
final class HttpRequests {
    private static final Set<String> METHODS =
            Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    private static final char FIRST_PRINTABLE = ' ';
    private static final char DELETE = 0x7f;

    private HttpRequests() {}

    /** The HTTP request, with the path byte for byte as the caller wrote it. */
    static HttpRequest of(Request request) {
        HttpRequest http =
                HttpRequest.create("/")
                        .withMethod(method(request.method()))
                        .withHeaders(headers(request));
        return request.body().isEmpty()
                ? http
                : http.withEntity(HttpEntities.create(contentType(request), request.body()));
    }

    private static HttpMethod method(String name) {
        if (!METHODS.contains(name)) {
            throw notSent("method " + name + " can't be passed on");
        }
        return HttpMethods.lookup(name).orElseThrow();
    }

    private static List<HttpHeader> headers(Request request) {
        List<HttpHeader> headers = new ArrayList<>();
        headers.add(RawRequestURI.create(checkedPath(request.path())));
        headers.add(Connection.create("close"));
        for (Header header : PassedHeaders.toUpstream(request.headers())) {
            if (!header.named("Content-Type")) {
                headers.add(header(header));
            }
        }
        return headers;
    }

    private static HttpHeader header(Header header) {
        if (!isPrintable(header.name()) || !isPrintable(header.value())) {
            throw notSent("header with control characters");
        }
        // Pekko drops a raw User-Agent, since it has a setting for one.
        return header.named("User-Agent")
                ? HttpHeader.parse(header.name(), header.value())
                : RawHeader.create(header.name(), header.value());
    }

    /** A line break in the path would start a request of its own on the upstream's connection. */
    private static String checkedPath(String path) {
        if (!path.startsWith("/") || !isPrintable(path) || path.indexOf(' ') >= 0) {
            throw notSent("path must start with / and hold no spaces or control characters");
        }
        return path;
    }

    private static boolean isPrintable(String text) {
        return text.chars().allMatch(c -> c >= FIRST_PRINTABLE && c != DELETE || c == '\t');
    }

    private static ContentType contentType(Request request) {
        String named =
                request.headers().stream()
                        .filter(header -> header.named("Content-Type"))
                        .map(Header::value)
                        .findFirst()
                        .orElse("application/octet-stream");
        try {
            return ContentTypes.parse(named);
        } catch (IllegalArgumentException e) {
            throw new UpstreamException(Code.NOT_SENT, "content type can't be read: " + named, e);
        }
    }

    private static UpstreamException notSent(String message) {
        return new UpstreamException(Code.NOT_SENT, message);
    }
}

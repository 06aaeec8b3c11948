package io.damaskyoke.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.AsciiString;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

/**
 * Decodes responses and rejects heads that may have been made of two, that have a malformed line,
 * or whose body has no known end.
 *
 * <p>A server may truncate an extra response to an earlier request. If its bytes run together with
 * the next response, what it says would count as said about the next request, also that this has
 * not run. The status line of the next response is then found inside the joined head. Such a head
 * is marked as a decoding failure.
 *
 * <p>Netty's decoder cuts a field name at a blank, so that {@code Content-Length X: 5} would say
 * how long the body is, and takes a line that begins with a blank for more of the field before it.
 * Both are rejected: other readers of the same bytes may see other fields.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
    private static final String STATUS_LINE_START = "HTTP/1.";

    /** What the name of a field may hold beside letters and digits. */
    private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

    /** Unlike a header {@code Via: HTTP/1.1 proxy}. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d [1-9]\\d\\d( |$)");

    private final BooleanSupplier awaitsBodiless;
    private boolean inHead;
    private boolean foldedLine;

    /**
     * Creates a decoder; {@code awaitsBodiless} is asked at each head whether the request was one
     * whose response has no body.
     */
    StrictResponseDecoder(HttpDecoderConfig config, BooleanSupplier awaitsBodiless) {
        super(config);
        this.awaitsBodiless = awaitsBodiless;
    }

    /** Returns true if bytes have come, beyond empty lines, that are in no message yet. */
    boolean holdsBytes() {
        return inHead || internalBuffer().forEachByte(each -> each == '\r' || each == '\n') >= 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        boolean headContinues = inHead;
        int start = in.readerIndex();
        super.decode(context, in, out);
        boolean headRead = headContinues || inHead || endsHead(out);
        if (headRead && hasFoldedLine(in, start, headContinues)) {
            foldedLine = true;
        }
        if (foldedLine && endsHead(out)) {
            foldedLine = false;
            reject((HttpMessage) out.get(0), "a line of the head begins with a blank");
        }
    }

    // Netty's decoder reads whole lines of a head, and no more than the head, in one call.
    private static boolean hasFoldedLine(ByteBuf in, int start, boolean startsLine) {
        boolean lineStarts = startsLine;
        for (int index = start; index < in.readerIndex(); index++) {
            byte next = in.getByte(index);
            if (lineStarts && isBlank(next)) {
                return true;
            }
            lineStarts = next == '\n';
        }
        return false;
    }

    private static boolean endsHead(List<Object> out) {
        return !out.isEmpty() && out.get(0) instanceof HttpMessage;
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        int end = start + length;
        if (end >= line.length || line[end] != ':') {
            throw new IllegalArgumentException("a blank in the name of a field");
        }
        for (int index = start; index < end; index++) {
            if (!isTokenCharacter(line[index])) {
                throw new IllegalArgumentException("the name of a field is no token");
            }
        }
        return super.splitHeaderName(line, start, length);
    }

    private static boolean isTokenCharacter(byte character) {
        boolean letterOrDigit =
                character >= 'a' && character <= 'z'
                        || character >= 'A' && character <= 'Z'
                        || character >= '0' && character <= '9';
        return letterOrDigit || TOKEN_MARKS.indexOf(character) >= 0;
    }

    private static boolean isBlank(byte character) {
        return character == ' ' || character == '\t';
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        boolean versionKnown = statusLine[0].equals("HTTP/1.1") || statusLine[0].equals("HTTP/1.0");
        if (!versionKnown || !isStatus(statusLine[1])) {
            throw new IllegalArgumentException("not a status line of HTTP/1.1 or HTTP/1.0");
        }
        inHead = true;
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        HttpResponse response = (HttpResponse) message;
        if (containsStatusLine(response)) {
            reject(message, "a status line within a head");
        } else if (hasUnknownCoding(message)) {
            reject(message, "unknown transfer coding");
        } else if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
            reject(message, "a switch of protocols that was not asked for");
        }
        return awaitsBodiless.getAsBoolean() || super.isContentAlwaysEmpty(message);
    }

    private static boolean isStatus(String text) {
        return text.length() == 3
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5'
                && text.chars().allMatch(each -> each >= '0' && each <= '9');
    }

    private static boolean containsStatusLine(HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                response.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            if (containsStatusLine(headers.next().getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(CharSequence text) {
        return AsciiString.contains(text, STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
    }

    private static boolean hasUnknownCoding(HttpMessage message) {
        List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked = codings.size() == 1 && codings.get(0).trim().equalsIgnoreCase("chunked");
        return !codings.isEmpty() && !chunked;
    }

    private static void reject(HttpMessage message, String why) {
        message.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(why)));
    }
}

package io.damaskyoke.upstream;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.pekko.util.ByteString;

/**
 * Reads what an answer has cost, {@code usage.total_tokens}, while the answer passes by.
 *
 * <p>{@code TokenUsage usage = new TokenUsage(); body.map(usage::pass)}, and once the body has
 * ended {@code usage.total()}. Works for one JSON answer and for server-sent events, since both
 * give the usage at their end; only the last few kilobytes are kept. Not thread-safe, as a stream
 * calls it one chunk after the other.
 */
public final class TokenUsage {
    private static final int WINDOW = 4096;

    /** Quotes within the generated text are escaped, so the text can't pass for a usage. */
    private static final Pattern USAGE = Pattern.compile("(?<!\\\\)\"usage\"\\s*:\\s*\\{");

    private static final Pattern TOTAL =
            Pattern.compile("(?<!\\\\)\"total_tokens\"\\s*:\\s*(\\d{1,15})\\s*[,}]");

    private final byte[] tail = new byte[WINDOW];
    private int length;

    /** Takes note of the chunk and gives it back unchanged. */
    public ByteString pass(ByteString chunk) {
        ByteString last = chunk.size() > WINDOW ? chunk.takeRight(WINDOW) : chunk;
        int kept = Math.min(length, WINDOW - last.size());
        System.arraycopy(tail, length - kept, tail, 0, kept);
        System.arraycopy(last.toArray(), 0, tail, kept, last.size());
        length = kept + last.size();
        return chunk;
    }

    /** The tokens that the upstream says it used, for prompt and answer; empty if it didn't say. */
    public OptionalLong total() {
        String text = new String(tail, 0, length, StandardCharsets.ISO_8859_1);
        Matcher usage = USAGE.matcher(text);
        int from = -1;
        while (usage.find()) {
            from = usage.end();
        }
        Matcher total = TOTAL.matcher(text);
        return from >= 0 && total.find(from)
                ? OptionalLong.of(Long.parseLong(total.group(1)))
                : OptionalLong.empty();
    }
}

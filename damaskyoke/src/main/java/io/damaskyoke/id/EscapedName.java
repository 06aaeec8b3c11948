package io.damaskyoke.id;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Turns a name of any characters into a short text that is safe in store keys, log lines and
 * metrics: {@code EscapedName.of("Feria Sur")} is {@code Feria%20Sur}. No two names become the same
 * text, and a name of safe characters stays as it is.
 */
final class EscapedName {
    /** A store key has at most 200 bytes, of which the prefix of the rates' rows takes 17. */
    static final int MAX_LENGTH = 183;

    /** Follows the beginning of a long name; no escape has it. */
    private static final String DIGEST_MARK = "%:";

    private static final int KEPT_OF_LONG_NAMES = 100;
    private static final HexFormat HEX = HexFormat.of().withUpperCase();

    private EscapedName() {}

    static String of(String name) {
        StringBuilder escaped = new StringBuilder(name.length());
        name.codePoints().forEach(each -> append(escaped, each));
        if (escaped.length() <= MAX_LENGTH) {
            return escaped.toString();
        }
        return escaped.substring(0, KEPT_OF_LONG_NAMES) + DIGEST_MARK + digest(escaped.toString());
    }

    private static void append(StringBuilder escaped, int codePoint) {
        if (Ids.isPlain(codePoint)) {
            escaped.appendCodePoint(codePoint);
            return;
        }
        for (byte each : utf8(codePoint)) {
            escaped.append('%').append(HEX.toHexDigits(each));
        }
    }

    // The encoder of the standard library would turn each half of a broken pair into a question
    // mark, so that two names met.
    private static byte[] utf8(int codePoint) {
        if (Character.getType(codePoint) != Character.SURROGATE) {
            return Character.toString(codePoint).getBytes(StandardCharsets.UTF_8);
        }
        return new byte[] {
            (byte) (0xe0 | codePoint >> 12),
            (byte) (0x80 | codePoint >> 6 & 0x3f),
            (byte) (0x80 | codePoint & 0x3f)
        };
    }

    private static String digest(String text) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(sha.digest(text.getBytes(StandardCharsets.US_ASCII)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

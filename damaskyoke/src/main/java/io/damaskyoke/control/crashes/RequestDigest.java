package io.damaskyoke.control.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * What a request is known again by, whoever sends it to whichever router under whatever id: {@code
 * RequestDigest.of("/sheets/1", "kitchens", body)}.
 *
 * @param value of path, workspace and body, in hexadecimal digits
 */
public record RequestDigest(String value) implements Comparable<RequestDigest> {
    private static final int BYTES = 16;

    /** The digest of a request; the body's position is left as it is. */
    public static RequestDigest of(String target, String workspace, ByteBuffer body) {
        MessageDigest digest = sha256();
        add(digest, target);
        add(digest, workspace);
        digest.update(body.duplicate());
        return new RequestDigest(HexFormat.of().formatHex(digest.digest(), 0, BYTES));
    }

    // A zero byte ends each text, so that no two of them run into one another.
    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    @Override
    public int compareTo(RequestDigest other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.damaskyoke.control.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies equal requests, whichever caller sends them to whichever router under whatever id:
 * {@code RequestDigest.of("/sheets/1", "kitchens", body)}.
 *
 * @param value digest of target, workspace and body, in hexadecimal digits
 */
public record RequestDigest(String value) implements Comparable<RequestDigest> {
    private static final int BYTES = 16;

    /** Returns the digest of a request; the position of the body is not changed. */
    public static RequestDigest of(String target, String workspace, ByteBuffer body) {
        MessageDigest digest = sha256();
        add(digest, target);
        add(digest, workspace);
        digest.update(body.duplicate());
        return new RequestDigest(HexFormat.of().formatHex(digest.digest(), 0, BYTES));
    }

    // The zero byte separates the texts, so that different pairs have different digests.
    private static void add(MessageDigest digest, String text) {
        digest.update(text.getBytes(StandardCharsets.UTF_8));
        digest.update((byte) 0);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is missing, although every Java platform must provide it", e);
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

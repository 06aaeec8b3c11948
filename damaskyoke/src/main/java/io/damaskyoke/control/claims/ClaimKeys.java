package io.damaskyoke.control.claims;

import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.WorkspaceId;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the store key of a claim and the digest that identifies its request. */
public final class ClaimKeys {
    private static final String PREFIX = "/claims/";

    private ClaimKeys() {}

    /**
     * Returns the store key of a claim. It contains a hash of the caller's key, which may have any
     * length and characters.
     */
    public static String storeKey(String storePrefix, WorkspaceId workspace, IdempotencyKey key) {
        return storePrefix + PREFIX + workspace.value() + "/" + hash(key.value());
    }

    /**
     * Returns the SHA-256 digest in hexadecimal of a request's target, method, path and body. It
     * leaves out the headers, which may differ between repeats.
     */
    public static String digest(Request request) {
        MessageDigest sha = sha256();
        for (String part :
                new String[] {request.target().name(), request.method(), request.path()}) {
            sha.update(part.getBytes(StandardCharsets.UTF_8));
            sha.update((byte) 0);
        }
        sha.update(request.body().toArray());
        return HexFormat.of().formatHex(sha.digest());
    }

    private static String hash(String text) {
        return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, but every Java platform must provide it", e);
        }
    }
}

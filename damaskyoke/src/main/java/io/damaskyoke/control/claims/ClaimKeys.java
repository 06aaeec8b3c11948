package io.damaskyoke.control.claims;

import io.damaskyoke.exchange.Request;
import io.damaskyoke.id.IdempotencyKey;
import io.damaskyoke.id.WorkspaceId;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Where a claim stands in the store, and what tells two requests under one key apart. */
public final class ClaimKeys {
    private static final String PREFIX = "/claims/";

    private ClaimKeys() {}

    /** The store's key; the caller's key goes in as a hash, so any character and length will do. */
    public static String storeKey(String storePrefix, WorkspaceId workspace, IdempotencyKey key) {
        return storePrefix + PREFIX + workspace.value() + "/" + hash(key.value());
    }

    /** A digest of target, method, path and body; headers may differ between repeats. */
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}

package io.damaskyoke.control.crashes;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.Objects;

/**
 * What may crash upstreams: a request that is sent again and again, or a part that the prompts of
 * several requests share: {@code CrashSuspect.request("/sheets/1", "kitchens", body)}.
 *
 * @param kind whether it is a request or a part of prompts
 * @param id digest of the request's target, workspace and body in hexadecimal digits, or the id of
 *     the prompt part
 */
public record CrashSuspect(Kind kind, String id) implements Comparable<CrashSuspect> {
    private static final int DIGEST_BYTES = 16;
    private static final Comparator<CrashSuspect> ORDER =
            Comparator.comparing(CrashSuspect::kind).thenComparing(CrashSuspect::id);

    /** The kind of a suspect. */
    public enum Kind {
        /** Equal requests, whichever caller sends them to whichever router under whatever id. */
        REQUEST,
        /** A part of prompts, whatever else the requests hold and whoever sends them. */
        PROMPT_PART
    }

    /** Checks that the suspect is named. */
    public CrashSuspect {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(id, "id");
    }

    /** Returns the request with these contents; the position of the body is not changed. */
    public static CrashSuspect request(String target, String workspace, ByteBuffer body) {
        MessageDigest digest = sha256();
        add(digest, target);
        add(digest, workspace);
        digest.update(body.duplicate());
        return request(HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES));
    }

    /** Returns the request with this digest. */
    public static CrashSuspect request(String digest) {
        return new CrashSuspect(Kind.REQUEST, digest);
    }

    /** Returns the prompt part with this id. */
    public static CrashSuspect promptPart(String id) {
        return new CrashSuspect(Kind.PROMPT_PART, id);
    }

    /** Returns true for a part of prompts, false for a request. */
    public boolean isPromptPart() {
        return kind == Kind.PROMPT_PART;
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
    public int compareTo(CrashSuspect other) {
        return ORDER.compare(this, other);
    }

    /** Returns the kind and the id as log lines show them, for example {@code prompt part 5c1e}. */
    @Override
    public String toString() {
        return (isPromptPart() ? "prompt part " : "request ") + id;
    }
}

package io.damaskyoke.control.configuration;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Computes the keyed hash under which a caller key is stored: {@code hasher.hash("sk-...")}.
 *
 * <p>The hash is keyed with a secret from the settings, so that a reader of the platform's store
 * can neither use the caller keys nor test guesses against the hashes.
 */
public final class KeyHasher {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int MIN_SECRET_BYTES = 16;

    private final SecretKeySpec secret;

    private KeyHasher(SecretKeySpec secret) {
        this.secret = secret;
    }

    /**
     * Returns a hasher with this secret, of at least 16 bytes in UTF-8. All processes of a
     * deployment need the same one.
     */
    public static KeyHasher of(String secret) {
        byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < MIN_SECRET_BYTES) {
            throw new IllegalArgumentException(
                    "the key secret must have at least " + MIN_SECRET_BYTES + " bytes");
        }
        return new KeyHasher(new SecretKeySpec(bytes, ALGORITHM));
    }

    /** Returns the keyed hash of a caller key, as 64 lower case hexadecimal digits. */
    public String hash(String callerKey) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(secret);
            return HexFormat.of()
                    .formatHex(mac.doFinal(callerKey.getBytes(StandardCharsets.UTF_8)));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    ALGORITHM + " is missing, though every Java platform must have it", e);
        }
    }
}

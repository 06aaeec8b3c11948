package io.damaskyoke.id;

/** The caller's name for one non-idempotent request, from its {@code Idempotency-Key} header. */
public record IdempotencyKey(String value) {
    private static final int MAX_LENGTH = 255;

    /** Refuses an empty key, one above 255 characters, and control characters. */
    public IdempotencyKey {
        if (value == null || value.isBlank() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("Idempotency-Key must have 1 to 255 characters");
        }
        if (value.chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException("Idempotency-Key must not hold control characters");
        }
    }
}

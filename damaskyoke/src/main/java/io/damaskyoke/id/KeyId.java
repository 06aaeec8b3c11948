package io.damaskyoke.id;

/** The public name of a caller key; it says nothing of the key itself. */
public record KeyId(String value) implements Comparable<KeyId> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public KeyId {
        Ids.check("key id", value);
    }

    /** Short for the constructor: {@code KeyId.of("kitchens-1")}. */
    public static KeyId of(String value) {
        return new KeyId(value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.damaskyoke.id;

/** One life of one process: new at every start, never used again. */
public record Incarnation(String value) implements Comparable<Incarnation> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public Incarnation {
        Ids.check("incarnation", value);
    }

    /** Short for the constructor: {@code Incarnation.of("router-1:01J9")}. */
    public static Incarnation of(String value) {
        return new Incarnation(value);
    }

    @Override
    public int compareTo(Incarnation other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

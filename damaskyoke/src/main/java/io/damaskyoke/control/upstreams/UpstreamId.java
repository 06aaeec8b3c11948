package io.damaskyoke.control.upstreams;

/** The name of an upstream; another upstream at the same address has another. */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Refuses an empty name. */
    public UpstreamId {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("an upstream's id must not be empty");
        }
    }

    /** Short for the constructor. */
    public static UpstreamId of(String value) {
        return new UpstreamId(value);
    }

    @Override
    public int compareTo(UpstreamId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

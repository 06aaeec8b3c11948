package io.damaskyoke.control.upstreams;

/** The name of an upstream; another upstream at the same address has a different one. */
public record UpstreamId(String value) implements Comparable<UpstreamId> {
    /** Rejects an empty name. */
    public UpstreamId {
        if (value.isEmpty()) {
            throw new IllegalArgumentException("the id of an upstream must not be empty");
        }
    }

    /** Returns the id with this name. */
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

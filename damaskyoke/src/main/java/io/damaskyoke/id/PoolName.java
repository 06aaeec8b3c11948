package io.damaskyoke.id;

/**
 * A group of upstreams that can stand in for each other: the engines of one model service, or the
 * replicas of one plain service.
 */
public record PoolName(String value) implements Comparable<PoolName> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public PoolName {
        Ids.check("pool name", value);
    }

    /** Short for the constructor: {@code PoolName.of("engines")}. */
    public static PoolName of(String value) {
        return new PoolName(value);
    }

    @Override
    public int compareTo(PoolName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package io.damaskyoke.id;

/** The availability zone that a process learnt from its settings. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /**
     * Refuses an empty or overlong value, or one with characters outside {@code [A-Za-z0-9._:/-]}.
     */
    public AvailabilityZone {
        Ids.check("availability zone", value);
    }

    /** Short for the constructor: {@code AvailabilityZone.of("kochi-1")}. */
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

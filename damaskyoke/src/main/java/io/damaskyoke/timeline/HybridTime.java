package io.damaskyoke.timeline;

/**
 * A point of hybrid logical time: wall milliseconds, and a counter for what falls in the same one.
 * Packed in 64 bits: 48 for the milliseconds, 16 for the counter.
 */
public record HybridTime(long packed) implements Comparable<HybridTime> {
    private static final int COUNTER_BITS = 16;
    private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

    /** The point with these parts. */
    public static HybridTime of(long millis, int counter) {
        return new HybridTime((millis << COUNTER_BITS) + counter);
    }

    /** Milliseconds since 1970, on the clock that was furthest ahead of those heard of. */
    public long millis() {
        return packed >>> COUNTER_BITS;
    }

    /** Orders events of the same millisecond. */
    public int counter() {
        return (int) (packed & COUNTER_MASK);
    }

    @Override
    public int compareTo(HybridTime other) {
        return Long.compareUnsigned(packed, other.packed);
    }
}
